#include "lycheeshunt/flows/internal/packet_path.h"

#include "lycheeshunt/base/planted_fault.h"
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

// This agent is the flow's director, and no agent has registered the flow.
void handleUnknownAsDirector(flow_context &context, const forwarded_packet &packet)
{
    const base::flow_key &key = packet.summary.key;
    if (!packet.summary.opens) {
#ifdef LYCHEESHUNT_PLANTED_FAULTS
        // The caller is reset without a question to the other agents.
        if (base::isFaultPlanted("lookup_skipped")) {
            context.actions.emplace_back(
                reset_caller {packet.bytes, base::error_code::flowUnknown});
            return;
        }
#endif
        startLookup(context, packet, lookup_purpose::find, {});
        return;
    }
    // A former director that has not received the current view may open the same flow now.
    const std::vector<base::node_id> unsettled = unsettledDirectorsOf(context.state, key);
    if (unsettled.empty())
        openFlow(context, packet);
    else
        startLookup(context, packet, lookup_purpose::open, unsettled);
}

// In this agent's view another agent is director. The sender may still be right: an entry that
// bypasses a suspected director sends to the backup, and the sender's view may be newer.
void handleUnknownAsOther(flow_context &context, const forwarded_packet &packet,
                          const routing::target &director)
{
    const flow_state &state = context.state;
    const routing::target *backup = backupOf(state, packet.summary.key);
    const bool isPlausible = packet.stage == packet_stage::toDirector
        && (isSelf(state, backup->node) || packet.at > currentGeneration(state));
    if (!isPlausible) {
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

// Returns whether the packet belongs to a flow that this agent owns. The first packet of a new
// connection with the key of an ended flow does not belong to that flow.
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

// Whether the packet shows that the directory entry is wrong: the agent in the entry has declined
// the packet, or the sender offers the flow although the entry, which came from a lookup, says that
// the sender is opening it.
bool isEntryObsolete(const flow_state &state, const forwarded_packet &packet)
{
    const directory_entry *entry = state.directory.find(packet.summary.key);
    const bool registered = entry != nullptr && entry->sequence != 0;
    return packet.stage == packet_stage::declined
        || (packet.stage == packet_stage::offer && packet.summary.opens && !registered);
}

// The director's entry is wrong: this agent has been running long enough to know all its flows.
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
    else if (hasStartedRecently(context.state, context.now))
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
    if (packet.incarnation != state.identity->incarnation)
        return refuse(context, base::error_code::wrongIncarnation);
    // The owner can't be determined before the first view; the caller will retransmit.
    if (!state.buckets)
        return refuse(context, base::error_code::agentNotReady);
    if (handledAsOwned(context, packet))
        return;
    if (isEntryObsolete(state, packet))
        state.directory.erase(key);
    if (const pending_lookup *pending = state.lookups.find(key)) {
        addToLookup(context, *pending, packet);
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
