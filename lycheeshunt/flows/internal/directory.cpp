#include "lycheeshunt/flows/internal/directory.h"

#include "lycheeshunt/flows/internal/registrar.h"
#include "lycheeshunt/flows/internal/service_view.h"

namespace lycheeshunt::flows::internal {

namespace {

// An agent is director or backup for about as many flows as it owns, twice; the rest is for
// buckets that came from an agent that is gone.
constexpr std::size_t entriesPerOwned = 4;
constexpr base::clock_time entryLife = refreshEvery * 5 / 2;
// An entry for a bucket that others direct now only shortens their lookups.
constexpr base::clock_time formerEntryLife = base::clock_time::ofSeconds(30);
constexpr std::size_t sweepSteps = 100;

// The owner registered before this agent learned of it.
bool isAheadOfView(const flow_state &state, const directory_entry &entry)
{
    return entry.at > currentGeneration(state);
}

// A repetition that arrives late must not undo what came after it.
bool isOutdated(const directory_entry &known, const registration_batch &batch)
{
    if (known.owner.node != batch.owner.node)
        return false;
    if (known.owner.life != batch.owner.life)
        return known.owner.life > batch.owner.life;
    return known.sequence > batch.sequence;
}

// Another agent has registered the flow and may still have it. The first one is kept: if it has not
// got the flow, it declines the next packet, and the other's next attempt is stored.
bool isTaken(const flow_state &state, const registration_batch &batch, const base::flow_key &key)
{
    const owned_flow *own = state.owned.find(key);
    if (own != nullptr && own->phase != flow_phase::ended)
        return true;
    const directory_entry *known = state.directory.find(key);
    if (known == nullptr || known->owner.node == batch.owner.node || known->sequence == 0)
        return false;
    const std::optional<routing::target> owner = knownOwner(state, key);
    return owner && owner->life == known->owner.life;
}

bool store(flow_context &context, const registration_batch &batch, const registered_flow &flow)
{
    flow_state &state = context.state;
    const directory_entry *known = state.directory.find(flow.key);
    if (known != nullptr && isOutdated(*known, batch))
        return true;
    if (!flow.alive) {
        if (known != nullptr && known->owner.node == batch.owner.node)
            state.directory.erase(flow.key);
        return true;
    }
    if (isTaken(state, batch, flow.key) || !directoryHasRoom(state, flow.key))
        return false;
    state.directory.put(flow.key,
                        directory_entry {batch.owner, batch.at, context.now, batch.sequence});
    return true;
}

bool isFor(const flow_state &state, const base::flow_key &key)
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
    context.actions.emplace_back(send_to_peer {
        batch.owner.packets,
        registration_ack {batch.service, context.state.identity->node,
                          currentGeneration(context.state), batch.owner.life, batch.sequence}});
}

void directoryTick(flow_context &context)
{
    flow_state &state = context.state;
    for (const base::flow_key &key : state.directory.nextKeys(sweepSteps)) {
        const directory_entry *entry = state.directory.find(key);
        if (entry == nullptr)
            continue;
        const base::clock_time life = isFor(state, key) ? entryLife : formerEntryLife;
        const bool expired = context.now - entry->lastHeard >= life;
        if (expired || !knownOwner(state, key))
            state.directory.erase(key);
    }
}

} // namespace lycheeshunt::flows::internal
