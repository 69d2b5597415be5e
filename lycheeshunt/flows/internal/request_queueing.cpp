#include "lycheeshunt/flows/internal/request_queueing.h"

#include "lycheeshunt/flows/internal/flow_placement.h"
#include "lycheeshunt/flows/internal/ownership.h"

namespace lycheeshunt::flows::internal {

namespace {

// Requests that the server gets beyond its slots, so that no slot is idle between an answer and the
// next request.
constexpr std::size_t slotHeadroom = 2;
// A request frees its slot if its flow has had neither an answer nor a packet for this long: its
// caller has disconnected, or the request was a retransmission of an earlier one.
constexpr base::clock_time requestTimeout = base::clock_time::ofSeconds(2);

bool hasFreeSlot(const flow_state &state)
{
    return state.server.slots == 0 || state.busyFlows < state.server.slots + slotHeadroom;
}

} // namespace

bool queueForSlot(flow_context &context, const owned_flow &flow, const forwarded_packet &packet)
{
    flow_state &state = context.state;
    const base::flow_key &key = packet.summary.key;
    if (!state.identity->serverReturnsPackets)
        return false;
    if (packet.summary.finishes || packet.summary.resets) {
        state.waiting.erase(key);
        return false;
    }
    // A packet that probes whether the server holds its flow is not counted as a request.
    const pending_delivery *delivery = state.pendingDeliveries.find(key);
    const bool isTrial = flow.phase == flow_phase::tried
        || (delivery != nullptr && !delivery->packet.summary.opens);
    if (packet.summary.payloadBytes == 0 || isTrial)
        return false;
    if (state.waiting.contains(key))
        return state.waiting.add(packet, context.now);
    const bool startsRequest = !flow.progress.isBusy && flow.progress.hasNewPayload(packet.summary)
        && flow.phase != flow_phase::ended;
    if (!startsRequest || (hasFreeSlot(state) && state.waiting.isEmpty()))
        return false;
    if (!state.waiting.add(packet, context.now))
        return false;
    recordEvent(context, flow_event_kind::waits, packet);
    return true;
}

void deliverQueuedRequests(flow_context &context)
{
    flow_state &state = context.state;
    while (!state.waiting.isEmpty() && hasFreeSlot(state)) {
        const waiting_request next = *state.waiting.takeNext(context.now);
        const owned_flow *flow = state.owned.find(next.key());
        if (flow == nullptr || flow->phase == flow_phase::ended)
            continue;
        context.actions.emplace_back(
            request_timing {request_step::waited, context.now - next.since});
        for (const forwarded_packet &packet : next.packets) {
            const owned_flow before = *state.owned.find(next.key());
            deliverToServer(context, packet);
            putOwned(state, next.key(),
                     owned_flow {context.now, before.refreshAt, before.phase,
                                 before.progress.afterCaller(packet.summary, context.now)});
        }
    }
}

void requestQueueTick(flow_context &context)
{
    flow_state &state = context.state;
    if (state.waiting.isEmpty())
        return;
    for (const waiting_request &abandoned : state.waiting.takeAbandoned(context.now))
        recordEvent(context, flow_event_kind::abandoned, abandoned.packets.front());
    std::vector<base::flow_key> stuck;
    for (auto it = state.owned.begin(); it != state.owned.end(); ++it) {
        if (it->second.progress.isBusy && context.now - it->second.lastPacket >= requestTimeout)
            stuck.push_back(it->first);
    }
    for (const base::flow_key &key : stuck) {
        const owned_flow flow = *state.owned.find(key);
        putOwned(state, key,
                 owned_flow {flow.lastPacket, flow.refreshAt, flow.phase,
                             flow.progress.withoutRequest()});
    }
}

} // namespace lycheeshunt::flows::internal
