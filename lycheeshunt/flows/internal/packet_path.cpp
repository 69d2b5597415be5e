#include "lycheeshunt/flows/internal/packet_path.h"

#include "lycheeshunt/flows/internal/directory.h"
#include "lycheeshunt/flows/internal/forwarding.h"
#include "lycheeshunt/flows/internal/lookup.h"
#include "lycheeshunt/flows/internal/ownership.h"
#include "lycheeshunt/flows/internal/recovery.h"
#include "lycheeshunt/flows/internal/service_view.h"

namespace lycheeshunt::flows::internal {

namespace {

void refuse(flow_context &context, base::error_code reason)
{
    context.actions.emplace_back(refuse_packet {reason});
}

// This agent is the flow's director, and nobody has registered the flow.
void handleUnknownAsDirector(flow_context &context, const forwarded_packet &packet)
{
    const base::flow_key &key = packet.summary.key;
    if (!packet.summary.opens) {
        startLookup(context, packet, lookup_purpose::find, {});
        return;
    }
    // An agent that has not heard that it is no longer director may open the same flow now.
    const std::vector<base::node_id> unsettled = unsettledDirectorsOf(context.state, key);
    if (unsettled.empty())
        openFlow(context, packet);
    else
        startLookup(context, packet, lookup_purpose::open, unsettled);
}

// By this agent's view another is director. The sender may know better: an entry that bypasses a
// suspected director sends to the backup, and its view may be newer.
void handleUnknownAsOther(flow_context &context, const forwarded_packet &packet,
                          const routing::target &director)
{
    const flow_state &state = context.state;
    const routing::target *backup = backupOf(state, packet.summary.key);
    const bool stands = packet.stage == packet_stage::toDirector
        && (isSelf(state, backup->node) || packet.at > currentGeneration(state));
    if (!stands) {
        forwardTo(context, packet, director, packet_stage::toDirector);
        return;
    }
    const lookup_purpose purpose
        = packet.summary.opens ? lookup_purpose::open : lookup_purpose::find;
    startLookup(context, packet, purpose, {director.node});
}

void handleUnknown(flow_context &context, const forwarded_packet &packet)
{
    const routing::target *director = directorOf(context.state, packet.summary.key);
    if (director == nullptr)
        refuse(context, base::error_code::noServer);
    else if (packet.stage == packet_stage::offer && packet.summary.opens)
        openFlow(context, packet);
    else if (isSelf(context.state, director->node))
        handleUnknownAsDirector(context, packet);
    else
        handleUnknownAsOther(context, packet, *director);
}

// Returns whether the packet was of a flow that this agent owns. A first packet on an ended flow
// opens a new one.
bool handledAsOwned(flow_context &context, const forwarded_packet &packet)
{
    const base::flow_key &key = packet.summary.key;
    const owned_flow *flow = context.state.owned.find(key);
    if (flow == nullptr)
        return false;
    if (flow->phase == flow_phase::ended && packet.summary.opens) {
        eraseOwned(context.state, key);
        return false;
    }
    handleOwned(context, owned_flow(*flow), packet);
    return true;
}

// The sender knows better than the directory: it is not the owner, or it offers the flow although
// this agent has noted that it was about to open it.
bool isEntryOverruled(const flow_state &state, const forwarded_packet &packet)
{
    const directory_entry *entry = state.directory.find(packet.summary.key);
    const bool registered = entry != nullptr && entry->sequence != 0;
    return packet.stage == packet_stage::declined
        || (packet.stage == packet_stage::offer && packet.summary.opens && !registered);
}

// The director's entry is wrong: this agent has lost no flow since it started.
void decline(flow_context &context, const forwarded_packet &packet)
{
    const routing::target *director = directorOf(context.state, packet.summary.key);
    if (director == nullptr || isSelf(context.state, director->node))
        startLookup(context, packet, lookup_purpose::find, {});
    else
        forwardTo(context, packet, *director, packet_stage::declined);
}

} // namespace

void handlePacketAsOwner(flow_context &context, const forwarded_packet &packet)
{
    if (handledAsOwned(context, packet))
        return;
    if (packet.summary.opens)
        openOrDecline(context, packet);
    else if (hasStartedLately(context.state, context.now))
        adoptFlow(context, packet);
    else
        decline(context, packet);
}

void handlePacket(flow_context &context, const forwarded_packet &packet)
{
    flow_state &state = context.state;
    const base::flow_key &key = packet.summary.key;
    if (packet.service != state.identity->service)
        return refuse(context, base::error_code::wrongService);
    if (packet.life != state.identity->life)
        return refuse(context, base::error_code::wrongIncarnation);
    // It can't tell yet whose flow this is; the caller's retransmission comes after the first view.
    if (!state.buckets)
        return refuse(context, base::error_code::agentNotReady);
    if (handledAsOwned(context, packet))
        return;
    if (isEntryOverruled(state, packet))
        state.directory.erase(key);
    if (const pending_lookup *held = state.lookups.find(key)) {
        addToLookup(context, *held, packet);
        return;
    }
    if (const std::optional<routing::target> owner = knownOwner(state, key)) {
        refreshEntry(context, key);
        forwardTo(context, packet, *owner, packet_stage::toOwner);
        return;
    }
    if (packet.stage == packet_stage::toOwner)
        handlePacketAsOwner(context, packet);
    else
        handleUnknown(context, packet);
}

} // namespace lycheeshunt::flows::internal
