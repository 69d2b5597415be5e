#include "lycheeshunt/flows/internal/directory.h"

#include "lycheeshunt/flows/internal/flow_searches.h"
#include "lycheeshunt/flows/internal/registrar.h"
#include "lycheeshunt/flows/internal/service_view.h"

namespace lycheeshunt::flows::internal {

namespace {

// An agent is director for about as many flows as it owns and backup for as many again. The rest
// is room for buckets that it takes over from a removed agent.
constexpr std::size_t entriesPerOwned = 4;
constexpr base::clock_time entryTtl = refreshInterval * 5 / 2;
// An entry of a bucket that has another director by now only shortens the lookups of others.
constexpr base::clock_time formerEntryTtl = base::clock_time::ofSeconds(30);
constexpr std::size_t sweepSteps = 100;

// The owner registered the flow in a generation that this agent has not reached, so that the view
// may not contain the owner yet.
bool isAheadOfView(const flow_state &state, const directory_entry &entry)
{
    return entry.at > currentGeneration(state);
}

// A retransmission that arrives late must not overwrite a later registration.
bool isOutdated(const directory_entry &existing, const registration_batch &batch)
{
    if (existing.owner.node != batch.owner.node)
        return false;
    if (existing.owner.incarnation != batch.owner.incarnation)
        return existing.owner.incarnation > batch.owner.incarnation;
    return existing.sequence > batch.sequence;
}

// Whether another agent has registered the flow and may still own it. The first registration is
// kept: if that agent does not own the flow, it declines the next packet, the entry is erased, and
// the next retransmission of the other registration is stored.
bool isRegisteredElsewhere(const flow_state &state, const registration_batch &batch,
                           const base::flow_key &key)
{
    const owned_flow *ownFlow = state.owned.find(key);
    if (ownFlow != nullptr && ownFlow->isClaimed())
        return true;
    const directory_entry *existing = state.directory.find(key);
    if (existing == nullptr || existing->owner.node == batch.owner.node || existing->sequence == 0)
        return false;
    const std::optional<routing::target> owner = knownOwner(state, key);
    return owner && owner->incarnation == existing->owner.incarnation;
}

bool store(flow_context &context, const registration_batch &batch, const registered_flow &flow)
{
    flow_state &state = context.state;
    const directory_entry *existing = state.directory.find(flow.key);
    if (existing != nullptr && isOutdated(*existing, batch))
        return true;
    if (!flow.alive) {
        if (existing != nullptr && existing->owner.node == batch.owner.node)
            state.directory.erase(flow.key);
        return true;
    }
    if (isRegisteredElsewhere(state, batch, flow.key) || !directoryHasRoom(state, flow.key))
        return false;
    forgetSearch(state, flow.key);
    state.directory.put(flow.key,
                        directory_entry {batch.owner, batch.at, context.now, batch.sequence});
    return true;
}

bool servesAsDirectorOrBackup(const flow_state &state, const base::flow_key &key)
{
    const routing::target *director = directorOf(state, key);
    return director != nullptr
        && (isSelf(state, director->node) || isSelf(state, backupOf(state, key)->node));
}

} // namespace

bool directoryHasRoom(const flow_state &state, const base::flow_key &key)
{
    return state.directory.size() < state.maxOwned * entriesPerOwned
        || state.directory.find(key) != nullptr;
}

std::optional<routing::target> knownOwner(const flow_state &state, const base::flow_key &key)
{
    const directory_entry *entry = state.directory.find(key);
    if (entry == nullptr)
        return std::nullopt;
    if (isAheadOfView(state, *entry))
        return entry->owner;
    return targetOf(state, entry->owner.node);
}

void refreshEntry(flow_context &context, const base::flow_key &key)
{
    const directory_entry *entry = context.state.directory.find(key);
    if (entry != nullptr)
        context.state.directory.put(
            key, directory_entry {entry->owner, entry->at, context.now, entry->sequence});
}

void handleRegistration(flow_context &context, const registration_batch &batch)
{
    if (batch.service != context.state.identity->service)
        return;
    bool stored = true;
    for (const registered_flow &flow : batch.flows)
        stored = store(context, batch, flow) && stored;
    if (!stored)
        return;
    context.actions.emplace_back(
        send_to_peer {batch.owner.packets,
                      registration_ack {batch.service, context.state.identity->node,
                                        currentGeneration(context.state), batch.owner.incarnation,
                                        batch.sequence}});
}

void directoryTick(flow_context &context)
{
    flow_state &state = context.state;
    for (const base::flow_key &key : state.directory.nextKeys(sweepSteps)) {
        const directory_entry *entry = state.directory.find(key);
        if (entry == nullptr)
            continue;
        const base::clock_time ttl
            = servesAsDirectorOrBackup(state, key) ? entryTtl : formerEntryTtl;
        const bool expired = context.now - entry->lastHeard >= ttl;
        if (expired || !knownOwner(state, key))
            state.directory.erase(key);
    }
}

} // namespace lycheeshunt::flows::internal
