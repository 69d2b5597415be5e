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
// Twice the longest pause between packets of an upload that is not held up. A caller that pauses
// longer has sent its request, or has to send a lost packet again.
constexpr base::clock_time transferPause = base::clock_time::ofMillis(100);
// Uploads in transfer for each slot. If all end at once, with 4 ms of work each, the last one is
// answered after 260 ms, a third of the latency that callers of uploads expect.
constexpr std::size_t transfersPerSlot = 64;

bool hasFreeSlot(const flow_state &state)
{
    return state.server.slots == 0 || state.busyFlows < state.server.slots + slotHeadroom;
}

bool canTakeTransfer(const flow_state &state)
{
    return state.server.slots == 0 || state.transfers < state.server.slots * transfersPerSlot;
}

// Uploads start only while a slot is free, too: each may need one once it has arrived.
bool canStart(const flow_state &state, const request_class &requestClass)
{
    return hasFreeSlot(state) && (!requestClass.isUpload() || canTakeTransfer(state));
}

// Whether a waiting request may be delivered as soon as a slot is free.
bool hasCandidate(const flow_state &state)
{
    const std::size_t held = canTakeTransfer(state) ? 0 : state.waiting.uploads();
    return state.waiting.size() > held;
}

enum class queue_result : std::uint8_t { queued, dropped, full };

// When the queue is full, a request of higher priority displaces one of a lower priority, which is
// dropped: its caller retransmits it. A request of lower priority than those in the queue is
// dropped too, since at the server it would be served before them.
queue_result addOrDisplace(flow_context &context, const forwarded_packet &packet)
{
    waiting_requests &waiting = context.state.waiting;
    while (!waiting.add(packet, context.now)) {
        const std::optional<waiting_request> displaced = waiting.displaceFor(packet, context.now);
        if (displaced) {
            recordEvent(context, flow_event_kind::displaced, displaced->packets.front());
        } else if (waiting.isOutranked(packet)) {
            recordEvent(context, flow_event_kind::displaced, packet);
            return queue_result::dropped;
        } else {
            return queue_result::full;
        }
    }
    return queue_result::queued;
}

void endPausedTransfers(flow_context &context)
{
    flow_state &state = context.state;
    if (state.transfers == 0)
        return;
    std::vector<base::flow_key> paused;
    for (auto it = state.owned.begin(); it != state.owned.end(); ++it) {
        const request_progress &progress = it->second.progress;
        if (progress.isInTransfer && context.now - progress.since >= transferPause)
            paused.push_back(it->first);
    }
    for (const base::flow_key &key : paused) {
        const owned_flow flow = *state.owned.find(key);
        putOwned(
            state, key,
            owned_flow {flow.lastPacket, flow.refreshAt, flow.phase, flow.progress.afterPause()});
    }
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
        return addOrDisplace(context, packet) != queue_result::full;
    const bool startsRequest = !flow.progress.isBusy && flow.progress.hasNewPayload(packet.summary)
        && flow.phase != flow_phase::ended;
    if (!startsRequest || (canStart(state, packet.requestClass) && !hasCandidate(state)))
        return false;
    const queue_result result = addOrDisplace(context, packet);
    if (result == queue_result::queued)
        recordEvent(context, flow_event_kind::waits, packet);
    return result != queue_result::full;
}

void deliverQueuedRequests(flow_context &context)
{
    flow_state &state = context.state;
    while (hasFreeSlot(state) && hasCandidate(state)) {
        const waiting_request next = *state.waiting.takeNext(context.now, canTakeTransfer(state));
        const owned_flow *flow = state.owned.find(next.key());
        if (flow == nullptr || flow->phase == flow_phase::ended)
            continue;
        context.actions.emplace_back(
            request_timing {request_step::waited, context.now - next.since, next.priority()});
        for (const forwarded_packet &packet : next.packets) {
            const owned_flow before = *state.owned.find(next.key());
            deliverToServer(context, packet);
            putOwned(state, next.key(),
                     owned_flow {context.now, before.refreshAt, before.phase,
                                 before.progress.afterCaller(packet.summary, packet.requestClass,
                                                             context.now)});
        }
    }
}

void requestQueueTick(flow_context &context)
{
    flow_state &state = context.state;
    endPausedTransfers(context);
    // A server whose slots are all held gets no new flows, so no request may show up to wait.
    const bool isFull = state.server.slots > 0 && state.busyFlows >= state.server.slots;
    if (state.waiting.isEmpty() && !isFull)
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
