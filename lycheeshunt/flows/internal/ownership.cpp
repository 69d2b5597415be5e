#include "lycheeshunt/flows/internal/ownership.h"

#include "lycheeshunt/flows/internal/flow_searches.h"
#include "lycheeshunt/flows/internal/forwarding.h"
#include "lycheeshunt/flows/internal/registrar.h"
#include "lycheeshunt/flows/internal/request_queueing.h"
#include "lycheeshunt/flows/internal/service_view.h"
#include "lycheeshunt/placement/evidence.h"
#include "lycheeshunt/placement/service_times.h"

#include <netinet/in.h>

namespace lycheeshunt::flows::internal {

namespace {

// RFC 5382 asks for 4 min at least for a connection that is closing; RFC 4787 recommends 5 min for
// UDP.
constexpr base::clock_time closingIdleTimeout = base::clock_time::ofSeconds(240);
constexpr base::clock_time datagramIdleTimeout = base::clock_time::ofSeconds(300);
constexpr base::clock_time openingIdleTimeout = base::clock_time::ofSeconds(30);
// Where backend servers return packets, callers abandon an unanswered opening packet sooner.
constexpr base::clock_time unansweredIdleTimeout = base::clock_time::ofSeconds(5);
constexpr base::clock_time endedRetention = base::clock_time::ofSeconds(2);
constexpr std::size_t sweepSteps = 100;

bool isBelowFlowLimit(const flow_state &state)
{
    return state.owned.size() < state.maxOwned;
}

bool canOpenFlow(const flow_state &state)
{
    return !state.draining && isBelowFlowLimit(state);
}

void endFlow(flow_context &context, const base::flow_key &key, const owned_flow &flow)
{
    putOwned(context.state, key, owned_flow {context.now, flow.refreshAt, flow_phase::ended});
    context.state.ended.push_back(ended_flow {key, context.now + endedRetention});
    registerLater(context, key, false);
}

flow_phase phaseAfterCaller(flow_phase phase, const packets::ip_summary &summary)
{
    if (summary.finishes)
        return phase == flow_phase::serverFinished ? flow_phase::ended : flow_phase::callerFinished;
    return phase == flow_phase::opening && !summary.opens ? flow_phase::open : phase;
}

flow_phase phaseAfterServer(flow_phase phase, const packets::ip_summary &summary)
{
    if (summary.finishes)
        return phase == flow_phase::callerFinished ? flow_phase::ended : flow_phase::serverFinished;
    return phase;
}

void removeFromCounts(flow_state &state, const owned_flow *flow)
{
    if (flow == nullptr)
        return;
    state.busyFlows -= flow->progress.holdsSlot() ? 1 : 0;
    state.transfers -= flow->progress.isInTransfer ? 1 : 0;
}

// A packet that is only tried is not counted as a request. Its effects on the flow's state apply
// once the flow is claimed.
void updateTriedFlow(flow_context &context, const base::flow_key &key, const owned_flow &flow,
                     const packets::ip_summary &packet)
{
    putOwned(context.state, key,
             owned_flow {context.now, flow.refreshAt, flow.phase,
                         flow.progress.afterCaller(packet, {}, context.now).withoutRequest(),
                         flow.hasCallerFinished || packet.finishes, packet.payloadBytes > 0});
}

void updateFlow(flow_context &context, const base::flow_key &key, const owned_flow &flow,
                flow_phase phase, const request_progress &progress)
{
    if (phase == flow_phase::ended)
        endFlow(context, key, flow);
    else
        putOwned(context.state, key, owned_flow {context.now, flow.refreshAt, phase, progress});
}

// A server that ends a flow instead of answering the request on it has failed the request. Such a
// server is idle, so placement by load alone would give it more flows than any other.
void recordOutcome(flow_context &context, const owned_flow &flow, const packets::ip_summary &answer)
{
    const bool isAnswer = answer.payloadBytes > 0;
    const bool isEnd = answer.resets || answer.finishes;
    if (!flow.progress.isBusy || (!isAnswer && !isEnd))
        return;
    const admission::work_outcome outcome
        = isAnswer ? admission::work_outcome::answered : admission::work_outcome::failed;
    context.state.outcomes = placement::afterWork(context.state.outcomes, outcome, context.now);
    if (outcome == admission::work_outcome::failed)
        context.actions.emplace_back(
            flow_event {flow_event_kind::failed,
                        answer.key,
                        packet_stage::toOwner,
                        currentGeneration(context.state),
                        {},
                        static_cast<std::uint32_t>(context.state.busyFlows),
                        static_cast<std::uint32_t>(context.state.owned.size())});
}

base::clock_time idleTimeoutOf(const flow_state &state, const base::flow_key &key, flow_phase phase)
{
    const bool isOpening = phase == flow_phase::opening || phase == flow_phase::copied;
    if (state.identity->serverReturnsPackets && isOpening)
        return unansweredIdleTimeout;
    if (phase == flow_phase::opening)
        return openingIdleTimeout;
    if (key.protocol != IPPROTO_TCP)
        return datagramIdleTimeout;
    const bool isClosing
        = phase == flow_phase::callerFinished || phase == flow_phase::serverFinished;
    return isClosing ? std::min(state.openIdleTimeout, closingIdleTimeout) : state.openIdleTimeout;
}

void removeEndedFlows(flow_context &context)
{
    flow_state &state = context.state;
    while (!state.ended.empty() && state.ended.front().removeAt <= context.now) {
        const base::flow_key &key = state.ended.front().key;
        const owned_flow *flow = state.owned.find(key);
        // A new flow with the same key may have been opened in the meantime.
        if (flow != nullptr && flow->phase == flow_phase::ended)
            eraseOwned(state, key);
        state.ended.pop_front();
    }
}

void sweepFlow(flow_context &context, const base::flow_key &key, const owned_flow &flow)
{
    if (flow.phase == flow_phase::ended)
        return;
    if (context.now - flow.lastPacket >= idleTimeoutOf(context.state, key, flow.phase)) {
        context.actions.emplace_back(
            flow_event {flow_event_kind::idle,
                        key,
                        packet_stage::toOwner,
                        currentGeneration(context.state),
                        {},
                        static_cast<std::uint32_t>(context.state.busyFlows),
                        static_cast<std::uint32_t>(context.state.owned.size())});
        endFlow(context, key, flow);
        return;
    }
    if (flow.refreshAt > context.now || !flow.isClaimed())
        return;
    registerLater(context, key, true);
    putOwned(
        context.state, key,
        owned_flow {flow.lastPacket, context.now + refreshInterval, flow.phase, flow.progress});
}

} // namespace

void putOwned(flow_state &state, const base::flow_key &key, const owned_flow &flow)
{
    removeFromCounts(state, state.owned.find(key));
    state.busyFlows += flow.progress.holdsSlot() ? 1 : 0;
    state.transfers += flow.progress.isInTransfer ? 1 : 0;
    state.owned.put(key, flow);
}

void eraseOwned(flow_state &state, const base::flow_key &key)
{
    removeFromCounts(state, state.owned.find(key));
    state.waiting.erase(key);
    state.owned.erase(key);
}

void deliverToServer(flow_context &context, const forwarded_packet &packet)
{
    context.actions.emplace_back(deliver_to_server {packet.bytes});
}

void takeOwnership(flow_context &context, const base::flow_key &key, flow_phase phase)
{
    context.state.directory.erase(key);
    forgetSearch(context.state, key);
    putOwned(context.state, key, owned_flow {context.now, context.now + refreshInterval, phase});
    registerNow(context, key);
}

void tryFlow(flow_context &context, const base::flow_key &key)
{
    putOwned(context.state, key,
             owned_flow {context.now, context.now + refreshInterval, flow_phase::tried});
}

void claimFlow(flow_context &context, const base::flow_key &key)
{
    forgetSearch(context.state, key);
    const owned_flow flow = *context.state.owned.find(key);
    const flow_phase phase = flow.hasCallerFinished ? flow_phase::callerFinished : flow_phase::open;
    context.state.directory.erase(key);
    putOwned(context.state, key,
             owned_flow {flow.lastPacket, context.now + refreshInterval, phase,
                         flow.triesPayload ? flow.progress.withRequest() : flow.progress});
    registerNow(context, key);
}

void handleOwned(flow_context &context, const owned_flow &flow, const forwarded_packet &packet)
{
    const base::flow_key &key = packet.summary.key;
    if (queueForSlot(context, flow, packet)) {
        // The packet shows that the caller is alive and has received the answer to its opening
        // packet.
        if (flow.phase != flow_phase::ended)
            updateFlow(context, key, flow, phaseAfterCaller(flow.phase, packet.summary),
                       flow.progress);
        return;
    }
    deliverToServer(context, packet);
    if (flow.phase == flow_phase::ended)
        return;
    if (flow.phase == flow_phase::tried && !packet.summary.resets) {
        updateTriedFlow(context, key, flow, packet.summary);
        return;
    }
    const flow_phase next
        = packet.summary.resets ? flow_phase::ended : phaseAfterCaller(flow.phase, packet.summary);
    updateFlow(context, key, flow, next,
               flow.progress.afterCaller(packet.summary, packet.requestClass, context.now));
}

void openFlow(flow_context &context, const forwarded_packet &packet)
{
    flow_state &state = context.state;
    const base::flow_key &key = packet.summary.key;
    if (!servesAddress(state, key)) {
        context.actions.emplace_back(refuse_packet {base::error_code::wrongService});
        return;
    }
    if (canOpenFlow(state)) {
        takeOwnership(context, key, flow_phase::opening);
        deliverToServer(context, packet);
        return;
    }
    const routing::target *second = backupOf(state, key);
    const bool mayOffer = packet.stage == packet_stage::toDirector && second != nullptr
        && !isSelf(state, second->node);
    if (mayOffer) {
        // A retransmission of this packet must go to the same agent, even if this one can open the
        // flow by then.
        storeOwner(context, key, *second, currentGeneration(state));
        forwardTo(context, packet, *second, packet_stage::offer);
        return;
    }
    const base::error_code reason
        = state.draining ? base::error_code::serverDraining : base::error_code::flowTableFull;
    context.actions.emplace_back(reset_caller {packet.bytes, reason});
}

void openOrDecline(flow_context &context, const forwarded_packet &packet)
{
    const routing::target *director = directorOf(context.state, packet.summary.key);
    if (canOpenFlow(context.state) || director == nullptr || isSelf(context.state, director->node))
        openFlow(context, packet);
    else
        forwardTo(context, packet, *director, packet_stage::declined);
}

void adoptFlow(flow_context &context, const forwarded_packet &packet)
{
    const base::flow_key &key = packet.summary.key;
    if (!servesAddress(context.state, key)) {
        context.actions.emplace_back(reset_caller {packet.bytes, base::error_code::wrongService});
        return;
    }
    if (!isBelowFlowLimit(context.state)) {
        context.actions.emplace_back(reset_caller {packet.bytes, base::error_code::flowTableFull});
        return;
    }
    takeOwnership(context, key, flow_phase::opening);
    deliverToServer(context, packet);
}

void handleAnswer(flow_context &context, const server_answer &answer)
{
    const base::flow_key &key = answer.summary.key;
    const owned_flow *flow = context.state.owned.find(key);
    if (flow == nullptr && !answer.summary.resets && context.state.buckets) {
        // This agent has restarted: packets that the backend server sends show which flows it has.
        const bool isForeign
            = !context.state.identity->serverReturnsPackets && !servesAddress(context.state, key);
        if (isForeign) {
            context.actions.emplace_back(refuse_packet {base::error_code::wrongService});
            return;
        }
        if (isBelowFlowLimit(context.state))
            takeOwnership(context, key, flow_phase::open);
    }
    context.actions.emplace_back(answer_caller {answer.bytes});
    if (flow == nullptr || flow->phase == flow_phase::ended)
        return;
    if (flow->phase == flow_phase::tried && !answer.summary.resets) {
        claimFlow(context, key);
        flow = context.state.owned.find(key);
    }
    const flow_phase next
        = answer.summary.resets ? flow_phase::ended : phaseAfterServer(flow->phase, answer.summary);
    recordOutcome(context, *flow, answer.summary);
    if (flow->progress.isBusy && answer.summary.payloadBytes > 0) {
        const base::clock_time span = context.now - flow->progress.since;
        context.state.serviceTime
            = placement::afterAnswer(context.state.serviceTime, span, context.now);
        context.actions.emplace_back(request_timing {request_step::answered, span});
    }
    updateFlow(context, key, owned_flow(*flow), next, flow->progress.afterServer(answer.summary));
}

void ownershipTick(flow_context &context)
{
    removeEndedFlows(context);
    for (const base::flow_key &key : context.state.owned.nextKeys(sweepSteps)) {
        const owned_flow *flow = context.state.owned.find(key);
        if (flow != nullptr)
            sweepFlow(context, key, owned_flow(*flow));
    }
}

} // namespace lycheeshunt::flows::internal
