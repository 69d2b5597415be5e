#include "lycheeshunt/flows/internal/placing.h"

#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/dissemination/cluster_view.h"
#include "lycheeshunt/flows/internal/forwarding.h"
#include "lycheeshunt/flows/internal/returning.h"
#include "lycheeshunt/flows/internal/service_view.h"
#include "lycheeshunt/placement/decision.h"

#include <algorithm>

namespace lycheeshunt::flows::internal {

namespace {

// Agents report at least every 400 ms; one that has missed three reports gets no offers.
constexpr base::clock_time reportsMissed = base::clock_time::ofMillis(1300);

placement::placement_rules rules()
{
    placement::placement_rules defaults;
    return placement::placement_rules {defaults.maxOffers,
                                       defaults.maxPeers,
                                       defaults.passMargin,
                                       defaults.flowWeight,
                                       defaults.flowSlots,
                                       defaults.probesWhenFull,
                                       false,
                                       defaults.zoneWeight,
                                       defaults.suspectAfter,
                                       reportsMissed,
                                       defaults.reportBytesPerSecond};
}

void refuse(flow_context &context, const forwarded_packet &packet, base::error_code reason)
{
    // A copy of an opening packet may be refused by all because one of them has the flow.
    if (packet.summary.isRepeated)
        context.actions.emplace_back(refuse_packet {reason});
    else
        refuseCaller(context, packet, reason);
}

void offer(flow_context &context, const forwarded_packet &packet, const placement::pass_flow &pass)
{
    const std::optional<routing::target> to = targetOf(context.state, pass.to);
    if (!to)
        return refuse(context, packet, base::error_code::noServer);
    noteEvent(context, flow_event_kind::offered, packet, pass.to);
    std::vector<base::node_id> offered = pass.offer.tried;
    forwardTo(context, packet.with(packet.stage, offered, packet.isDoubtful), *to,
              packet_stage::offer);
    // A copy of the packet goes to yet another agent: this one may be dead.
    offered.push_back(pass.to);
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

void run(flow_context &context, const placement::placement_message &message)
{
    flow_state &state = context.state;
    if (!state.placement)
        return;
    base::step<placement::placement_state, placement::placement_action> next
        = placement::decide(std::move(*state.placement), message, context.now);
    state.placement = std::move(next.state);
    for (const placement::placement_action &action : next.actions)
        carryOut(context, action);
}

placement::server_load loadOf(const flow_state &state, base::clock_time now)
{
    const std::uint32_t busy = static_cast<std::uint32_t>(state.busyFlows + state.waiting.size());
    const std::uint32_t held = std::min(busy, state.server.slots);
    return placement::server_load {
        admission::slot_counts {state.server.slots, held, 0, busy - held,
                                !state.server.isAccepting || state.draining, canAccept(state, now)},
        static_cast<std::uint32_t>(state.owned.size() - state.ended.size())};
}

} // namespace

void noteEvent(flow_context &context, flow_event_kind kind, const forwarded_packet &packet,
               base::node_id other, std::optional<base::error_code> reason)
{
    const flow_state &state = context.state;
    context.actions.emplace_back(
        flow_event {kind, packet.summary.key, packet.stage, currentGeneration(state), other,
                    static_cast<std::uint32_t>(state.busyFlows),
                    static_cast<std::uint32_t>(state.owned.size()), packet.isDoubtful, reason});
}

void refuseCaller(flow_context &context, const forwarded_packet &packet, base::error_code reason)
{
    noteEvent(context, flow_event_kind::refused, packet, base::node_id(), reason);
    context.actions.emplace_back(reset_caller {packet.bytes, reason});
}

bool canAccept(const flow_state &state, base::clock_time now)
{
    const server_view &server = state.server;
    return server.isAccepting && !state.draining && now >= server.refusesUntil
        && !(server.isSilent && now < server.silentUntil) && state.owned.size() < state.maxOwned;
}

void placeFlow(flow_context &context, const forwarded_packet &packet)
{
    flow_state &state = context.state;
    shareLoad(context);
    base::step<placement::placement_state, placement::placement_action> next = placement::decide(
        std::move(*state.placement), placement::flow_offered {placement::offer_id(), packet.agents},
        context.now);
    state.placement = std::move(next.state);
    for (const placement::placement_action &action : next.actions) {
        std::visit(base::overloaded {
                       [&](const placement::take_flow &) { openReturning(context, packet); },
                       [&](const placement::pass_flow &pass) { offer(context, packet, pass); },
                       [&](const placement::refuse_flow &refused) {
                           refuse(context, packet, refused.reason);
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
    state.placement.emplace(placement::peer {self.node, self.life, self.availabilityZone}, rules());
    placementPeers(context);
}

void placementPeers(flow_context &context)
{
    const flow_state &state = context.state;
    if (!state.placement || !state.view)
        return;
    const agent_identity &self = *state.identity;
    std::vector<placement::peer> peers {
        placement::peer {self.node, self.life, self.availabilityZone}};
    for (auto it = state.view->members.begin(); it != state.view->members.end(); ++it) {
        const membership::member &member = it->second;
        const bool isPeer = targetOf(state, it->first) && !isSelf(state, it->first)
            && !state.view->isDraining(member)
            && member.phase != membership::member_phase::suspected;
        if (isPeer)
            peers.push_back(placement::peer {it->first, member.life, member.availabilityZone});
    }
    run(context, placement::peers_changed {std::move(peers)});
}

void handleLoadReport(flow_context &context, const placement::load_report &report)
{
    run(context, report);
}

void shareLoad(flow_context &context)
{
    flow_state &state = context.state;
    if (!state.placement)
        return;
    const placement::server_load load = loadOf(state, context.now);
    if (load != *state.placement->ownLoad)
        run(context, placement::own_load_changed {load});
}

void placementTick(flow_context &context)
{
    shareLoad(context);
    run(context, placement::placement_tick {});
}

} // namespace lycheeshunt::flows::internal
