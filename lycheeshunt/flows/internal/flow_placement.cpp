#include "lycheeshunt/flows/internal/flow_placement.h"

#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/dissemination/cluster_view.h"
#include "lycheeshunt/flows/internal/forwarding.h"
#include "lycheeshunt/flows/internal/opening_limit.h"
#include "lycheeshunt/flows/internal/returned_packets.h"
#include "lycheeshunt/flows/internal/service_view.h"
#include "lycheeshunt/placement/decision.h"
#include "lycheeshunt/placement/evidence.h"
#include "lycheeshunt/placement/service_times.h"

#include <algorithm>
#include <stdexcept>

namespace lycheeshunt::flows::internal {

namespace {

using placement_step = base::step<placement::placement_state, placement::placement_action>;

// Agents report at least every 400 ms; an agent that has missed three reports gets no offers.
constexpr base::clock_time reportTimeout = base::clock_time::ofMillis(1300);

placement::placement_rules placementRules()
{
    placement::placement_rules defaults;
    return placement::placement_rules {defaults.maxOffers,
                                       defaults.maxPeers,
                                       defaults.forwardMargin,
                                       defaults.flowWeight,
                                       defaults.flowSlots,
                                       defaults.probesWhenFull,
                                       false,
                                       defaults.zoneWeight,
                                       defaults.suspectAfter,
                                       reportTimeout,
                                       defaults.reportBytesPerSecond};
}

void refuseFlow(flow_context &context, const forwarded_packet &packet, base::error_code reason)
{
    // All agents may refuse a retransmitted opening packet, or one that arrives after its
    // retransmission, because one of them already owns the flow.
    if (packet.summary.isRepeated || packet.isDoubtful)
        context.actions.emplace_back(refuse_packet {reason});
    else
        refuseCaller(context, packet, reason);
}

void offerFlow(flow_context &context, const forwarded_packet &packet,
               const placement::forward_offer &forwarded)
{
    const std::optional<routing::target> to = targetOf(context.state, forwarded.to);
    if (!to)
        return refuseFlow(context, packet, base::error_code::noServer);
    recordEvent(context, flow_event_kind::offered, packet, forwarded.to);
    std::vector<base::node_id> offered = forwarded.offer.tried;
    forwardTo(context, packet.with(packet.stage, offered, packet.isDoubtful), *to,
              packet_stage::offer);
    // A retransmission goes to an agent that is not in this list, since the one just chosen may
    // have failed.
    offered.push_back(forwarded.to);
    // A repeated opening packet of a flow that this agent owns does not replace the delivery to its
    // own server, whose answer is still due.
    if (context.state.owned.find(packet.summary.key) != nullptr)
        return;
    context.state.pendingDeliveries.put(
        packet.summary.key,
        pending_delivery {packet.with(packet.stage, std::move(offered), packet.isDoubtful),
                          context.now});
}

void carryOut(flow_context &context, const placement::placement_action &action)
{
    if (const placement::send_report *report = std::get_if<placement::send_report>(&action)) {
        const std::optional<routing::target> to = targetOf(context.state, report->to);
        if (to)
            context.actions.emplace_back(send_to_peer {to->packets, report->report});
    }
}

// Takes the state back. Throws if the decision was cut short.
void resumePlacement(flow_state &state, placement_step &next)
{
    state.placement = std::move(next.state);
    if (next.fault)
        throw std::runtime_error("placement: " + next.fault->detail);
}

void runPlacement(flow_context &context, const placement::placement_message &message)
{
    flow_state &state = context.state;
    if (!state.placement)
        return;
    placement_step next = placement::decide(std::move(*state.placement), message, context.now);
    resumePlacement(state, next);
    for (const placement::placement_action &action : next.actions)
        carryOut(context, action);
}

placement::server_load loadOf(const flow_state &state, base::clock_time now)
{
    const std::uint32_t busy = static_cast<std::uint32_t>(state.busyFlows + state.waiting.size());
    const std::uint32_t busySlots = std::min(busy, state.server.slots);
    return placement::server_load {
        admission::slot_counts {state.server.slots, busySlots, 0, busy - busySlots,
                                !state.server.isAccepting || state.draining,
                                canAcceptFlow(state, now) && announcesOpenings(state, now)},
        static_cast<std::uint32_t>(state.owned.size() - state.ended.size()), 0,
        state.identity->reportsFailures && placement::isFailing(state.outcomes, now),
        state.identity->reportsSpeed ? placement::knownMillis(state.serviceTime, now) : 0};
}

} // namespace

void recordEvent(flow_context &context, flow_event_kind kind, const forwarded_packet &packet,
                 base::node_id other, std::optional<base::error_code> reason, std::size_t agents)
{
    const flow_state &state = context.state;
    context.actions.emplace_back(flow_event {
        kind, packet.summary.key, packet.stage, currentGeneration(state), other,
        static_cast<std::uint32_t>(state.busyFlows), static_cast<std::uint32_t>(state.owned.size()),
        packet.isDoubtful, reason, static_cast<std::uint32_t>(agents), packet.summary.resets});
}

void refuseCaller(flow_context &context, const forwarded_packet &packet, base::error_code reason)
{
    recordEvent(context, flow_event_kind::refused, packet, base::node_id(), reason);
    context.actions.emplace_back(reset_caller {packet.bytes, reason});
}

bool canAcceptFlow(const flow_state &state, base::clock_time now)
{
    const server_view &server = state.server;
    return server.isAccepting && !state.draining && now >= server.refusesUntil
        && !(server.isSilent && now < server.silentUntil) && state.owned.size() < state.maxOwned;
}

bool hasRoomBesides(flow_context &context, const std::vector<base::node_id> &tried)
{
    publishOwnLoad(context);
    return context.state.placement
        && placement::hasCandidate(*context.state.placement,
                                   placement::flow_offered {placement::offer_id(), tried},
                                   context.now);
}

// No further agent may be offered the flow, and this agent's server is cold and has no token. While
// other agents would accept the flow, the caller's next copy of the opening packet is placed anew.
void handleMissingToken(flow_context &context, const forwarded_packet &packet,
                        base::error_code reason)
{
    std::vector<base::node_id> tried = packet.agents;
    tried.push_back(context.state.identity->node);
    if (hasRoomBesides(context, tried))
        context.actions.emplace_back(refuse_packet {reason});
    else if (mayExceedLimit(context.state))
        openTentatively(context, packet);
    else
        refuseFlow(context, packet, reason);
}

void placeFlow(flow_context &context, const forwarded_packet &packet)
{
    flow_state &state = context.state;
    publishOwnLoad(context);
    const bool canAccept = canAcceptFlow(state, context.now);
    const bool hasToken = hasOpeningToken(state, context.now);
    placement_step next = placement::decide(
        std::move(*state.placement),
        placement::flow_offered {placement::offer_id(), packet.agents, {}, canAccept && hasToken},
        context.now);
    resumePlacement(state, next);
    for (const placement::placement_action &action : next.actions) {
        std::visit(base::overloaded {
                       [&](const placement::accept_flow &) { openTentatively(context, packet); },
                       [&](const placement::forward_offer &forwarded) {
                           if (canAccept && !hasToken)
                               recordEvent(context, flow_event_kind::cold, packet, forwarded.to);
                           offerFlow(context, packet, forwarded);
                       },
                       [&](const placement::refuse_flow &refused) {
                           if (canAccept && !hasToken)
                               handleMissingToken(context, packet, refused.reason);
                           else
                               refuseFlow(context, packet, refused.reason);
                       },
                       [&](const auto &other) { carryOut(context, other); },
                   },
                   action);
    }
}

void startPlacement(flow_context &context)
{
    flow_state &state = context.state;
    const agent_identity &self = *state.identity;
    if (!self.serverReturnsPackets)
        return;
    state.placement.emplace(placement::peer {self.node, self.incarnation, self.availabilityZone},
                            placementRules());
    updatePlacementPeers(context);
}

void updatePlacementPeers(flow_context &context)
{
    const flow_state &state = context.state;
    if (!state.placement || !state.view)
        return;
    const agent_identity &self = *state.identity;
    std::vector<placement::peer> peers {
        placement::peer {self.node, self.incarnation, self.availabilityZone}};
    for (auto it = state.view->members.begin(); it != state.view->members.end(); ++it) {
        const membership::member &member = it->second;
        const bool isPeer = targetOf(state, it->first) && !isSelf(state, it->first)
            && !state.view->isDraining(member)
            && member.phase != membership::member_phase::suspected;
        if (isPeer)
            peers.push_back(
                placement::peer {it->first, member.incarnation, member.availabilityZone});
    }
    runPlacement(context, placement::peers_changed {std::move(peers)});
}

void handleLoadReport(flow_context &context, const placement::load_report &report)
{
    runPlacement(context, report);
}

void publishOwnLoad(flow_context &context)
{
    flow_state &state = context.state;
    if (!state.placement)
        return;
    const placement::server_load load = loadOf(state, context.now);
    if (load != *state.placement->ownLoad)
        runPlacement(context, placement::own_load_changed {load});
}

void placementTick(flow_context &context)
{
    publishOwnLoad(context);
    runPlacement(context, placement::placement_tick {});
}

} // namespace lycheeshunt::flows::internal
