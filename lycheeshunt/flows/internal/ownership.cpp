#include "lycheeshunt/flows/internal/ownership.h"

#include "lycheeshunt/flows/internal/forwarding.h"
#include "lycheeshunt/flows/internal/pacing.h"
#include "lycheeshunt/flows/internal/registrar.h"
#include "lycheeshunt/flows/internal/service_view.h"

#include <netinet/in.h>

namespace lycheeshunt::flows::internal {

namespace {

// RFC 5382 asks for 4 min at least for a connection that is closing; RFC 4787 recommends 5 min for
// UDP.
constexpr base::clock_time closingIdle = base::clock_time::ofSeconds(240);
constexpr base::clock_time datagramIdle = base::clock_time::ofSeconds(300);
constexpr base::clock_time openingIdle = base::clock_time::ofSeconds(30);
// Callers that open flows at such servers give up sooner.
constexpr base::clock_time unansweredIdle = base::clock_time::ofSeconds(5);
constexpr base::clock_time endedLinger = base::clock_time::ofSeconds(2);
constexpr std::size_t sweepSteps = 100;

bool hasSpace(const flow_state &state)
{
    return state.owned.size() < state.maxOwned;
}

bool hasRoom(const flow_state &state)
{
    return !state.draining && hasSpace(state);
}

void endFlow(flow_context &context, const base::flow_key &key, const owned_flow &flow)
{
    putOwned(context.state, key, owned_flow {context.now, flow.refreshAt, flow_phase::ended});
    context.state.ended.push_back(ended_flow {key, context.now + endedLinger});
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

void moveOn(flow_context &context, const base::flow_key &key, const owned_flow &flow,
            flow_phase phase, const request_progress &progress)
{
    if (phase == flow_phase::ended)
        endFlow(context, key, flow);
    else
        putOwned(context.state, key, owned_flow {context.now, flow.refreshAt, phase, progress});
}

base::clock_time idleLimit(const flow_state &state, const base::flow_key &key, flow_phase phase)
{
    if (state.identity->serverReturnsPackets && phase == flow_phase::opening)
        return unansweredIdle;
    if (phase == flow_phase::opening)
        return openingIdle;
    if (key.protocol != IPPROTO_TCP)
        return datagramIdle;
    return phase == flow_phase::open ? state.openIdle : std::min(state.openIdle, closingIdle);
}

void letEndedGo(flow_context &context)
{
    flow_state &state = context.state;
    while (!state.ended.empty() && state.ended.front().leavesAt <= context.now) {
        const base::flow_key &key = state.ended.front().key;
        const owned_flow *flow = state.owned.find(key);
        // The key may have been opened again in the meantime.
        if (flow != nullptr && flow->phase == flow_phase::ended)
            eraseOwned(state, key);
        state.ended.pop_front();
    }
}

void sweepFlow(flow_context &context, const base::flow_key &key, const owned_flow &flow)
{
    if (flow.phase == flow_phase::ended)
        return;
    if (context.now - flow.lastPacket >= idleLimit(context.state, key, flow.phase)) {
        endFlow(context, key, flow);
        return;
    }
    if (flow.refreshAt > context.now)
        return;
    registerLater(context, key, true);
    putOwned(context.state, key,
             owned_flow {flow.lastPacket, context.now + refreshEvery, flow.phase, flow.progress});
}

} // namespace

void putOwned(flow_state &state, const base::flow_key &key, const owned_flow &flow)
{
    const owned_flow *before = state.owned.find(key);
    state.busyFlows -= before != nullptr && before->progress.isBusy ? 1 : 0;
    state.busyFlows += flow.progress.isBusy ? 1 : 0;
    state.owned.put(key, flow);
}

void eraseOwned(flow_state &state, const base::flow_key &key)
{
    const owned_flow *before = state.owned.find(key);
    state.busyFlows -= before != nullptr && before->progress.isBusy ? 1 : 0;
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
    putOwned(context.state, key, owned_flow {context.now, context.now + refreshEvery, phase});
    registerNow(context, key);
}

void handleOwned(flow_context &context, const owned_flow &flow, const forwarded_packet &packet)
{
    const base::flow_key &key = packet.summary.key;
    if (holdsForSlot(context, flow, packet)) {
        // The caller is there, and has taken the server's answer to its opening packet.
        if (flow.phase != flow_phase::ended)
            moveOn(context, key, flow, phaseAfterCaller(flow.phase, packet.summary), flow.progress);
        return;
    }
    deliverToServer(context, packet);
    if (flow.phase == flow_phase::ended)
        return;
    const flow_phase next
        = packet.summary.resets ? flow_phase::ended : phaseAfterCaller(flow.phase, packet.summary);
    moveOn(context, key, flow, next, flow.progress.afterCaller(packet.summary, context.now));
}

void openFlow(flow_context &context, const forwarded_packet &packet)
{
    flow_state &state = context.state;
    const base::flow_key &key = packet.summary.key;
    if (!servesAddress(state, key)) {
        context.actions.emplace_back(refuse_packet {base::error_code::wrongService});
        return;
    }
    if (hasRoom(state)) {
        takeOwnership(context, key, flow_phase::opening);
        deliverToServer(context, packet);
        return;
    }
    const routing::target *second = backupOf(state, key);
    const bool mayOffer = packet.stage == packet_stage::toDirector && second != nullptr
        && !isSelf(state, second->node);
    if (mayOffer) {
        // A second copy of this packet must go the same way, also if there is room by then.
        rememberOwner(context, key, *second, currentGeneration(state));
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
    if (hasRoom(context.state) || director == nullptr || isSelf(context.state, director->node))
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
    if (!hasSpace(context.state)) {
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
        // Its agent has restarted: the backend server's own connections tell it of its flows.
        const bool isForeign
            = !context.state.identity->serverReturnsPackets && !servesAddress(context.state, key);
        if (isForeign) {
            context.actions.emplace_back(refuse_packet {base::error_code::wrongService});
            return;
        }
        if (hasSpace(context.state))
            takeOwnership(context, key, flow_phase::open);
    }
    context.actions.emplace_back(answer_caller {answer.bytes});
    if (flow == nullptr || flow->phase == flow_phase::ended)
        return;
    const flow_phase next
        = answer.summary.resets ? flow_phase::ended : phaseAfterServer(flow->phase, answer.summary);
    if (flow->progress.isBusy && answer.summary.payloadBytes > 0)
        context.actions.emplace_back(
            request_timing {request_step::answered, context.now - flow->progress.since});
    moveOn(context, key, owned_flow(*flow), next, flow->progress.afterServer(answer.summary));
}

void ownershipTick(flow_context &context)
{
    letEndedGo(context);
    for (const base::flow_key &key : context.state.owned.nextKeys(sweepSteps)) {
        const owned_flow *flow = context.state.owned.find(key);
        if (flow != nullptr)
            sweepFlow(context, key, owned_flow(*flow));
    }
}

} // namespace lycheeshunt::flows::internal
