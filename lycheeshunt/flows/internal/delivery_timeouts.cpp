#include "lycheeshunt/flows/internal/delivery_timeouts.h"

#include "lycheeshunt/flows/internal/flow_placement.h"
#include "lycheeshunt/flows/internal/ownership.h"
#include "lycheeshunt/flows/internal/registrar.h"
#include "lycheeshunt/flows/internal/returned_packets.h"
#include "lycheeshunt/flows/internal/server_trials.h"

namespace lycheeshunt::flows::internal {

namespace {

// A server on the same VM answers an opening packet, or returns any other, within 1 ms.
constexpr base::clock_time serverAnswerTimeout = base::clock_time::ofMillis(150);
// A server on the same VM returns a packet that it does not accept sooner than this.
constexpr base::clock_time returnTimeout = base::clock_time::ofMillis(100);
// Longer than a caller retransmits an opening packet.
constexpr base::clock_time pendingDeliveryLifetime = base::clock_time::ofSeconds(2);

// Tries the next candidate for each packet that a silent server may have lost. The server may still
// have the flow, so the search ends in doubt unless another one has it.
void passOverSilentServer(flow_context &context)
{
    flow_state &state = context.state;
    std::vector<pending_delivery> unanswered;
    for (auto it = state.pendingDeliveries.begin(); it != state.pendingDeliveries.end(); ++it) {
        const owned_flow *flow = state.owned.find(it->first);
        const bool isTried = it->second.packet.stage == packet_stage::trial && flow != nullptr
            && flow->phase == flow_phase::tried;
        if (isTried && state.server.lastHeard <= it->second.at
            && context.now - it->second.at >= serverAnswerTimeout)
            unanswered.push_back(it->second);
    }
    for (const pending_delivery &tried : unanswered) {
        const forwarded_packet &packet = tried.packet;
        recordEvent(context, flow_event_kind::serverSilent, packet);
        state.pendingDeliveries.erase(packet.summary.key);
        tryNextCandidate(context, packet.with(packet.stage, packet.agents, true));
    }
}

// Claims the flows that were tried and whose packets the server has kept: it was heard long enough
// after each delivery to have returned the packet.
void claimKeptFlows(flow_context &context)
{
    flow_state &state = context.state;
    std::vector<base::flow_key> kept;
    for (auto it = state.pendingDeliveries.begin(); it != state.pendingDeliveries.end(); ++it) {
        const owned_flow *flow = state.owned.find(it->first);
        if (flow != nullptr && flow->phase == flow_phase::tried
            && state.server.lastHeard - it->second.at >= returnTimeout)
            kept.push_back(it->first);
    }
    for (const base::flow_key &key : kept) {
        claimFlow(context, key);
        sendHint(context, forwarded_packet(state.pendingDeliveries.find(key)->packet));
    }
}

} // namespace

void deliveryTick(flow_context &context)
{
    flow_state &state = context.state;
    std::vector<pending_delivery> unanswered;
    std::vector<base::flow_key> expired;
    for (auto it = state.pendingDeliveries.begin(); it != state.pendingDeliveries.end(); ++it) {
        const base::clock_time age = context.now - it->second.at;
        const owned_flow *flow = state.owned.find(it->first);
        const bool awaitsAnswer = it->second.packet.summary.opens && flow != nullptr
            && state.server.lastHeard <= it->second.at;
        if (age >= pendingDeliveryLifetime)
            expired.push_back(it->first);
        else if (awaitsAnswer && age >= serverAnswerTimeout)
            unanswered.push_back(it->second);
    }
    claimKeptFlows(context);
    passOverSilentServer(context);
    for (const base::flow_key &key : expired)
        state.pendingDeliveries.erase(key);
    for (const pending_delivery &timedOut : unanswered) {
        state.server.isSilent = true;
        state.server.silentUntil = context.now + silentServerBackoff;
        recordEvent(context, flow_event_kind::serverSilent, timedOut.packet);
        state.pendingDeliveries.erase(timedOut.packet.summary.key);
        eraseOwned(state, timedOut.packet.summary.key);
        registerLater(context, timedOut.packet.summary.key, false);
        // By now another agent may have opened the flow with a retransmission.
        offerToOtherAgents(context, timedOut.packet, true);
    }
    placementTick(context);
}

} // namespace lycheeshunt::flows::internal
