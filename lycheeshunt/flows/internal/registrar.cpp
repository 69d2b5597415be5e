#include "lycheeshunt/flows/internal/registrar.h"

#include "lycheeshunt/flows/internal/service_view.h"

#include <algorithm>

namespace lycheeshunt::flows::internal {

namespace {

// Keeps a datagram below the usual MTU.
constexpr std::size_t maxFlowsInBatch = 50;
// 64 KB a second at ten ticks a second, with about 20 bytes for a flow.
constexpr std::size_t pacedFlowsInTick = 300;
constexpr std::size_t maxPendingBatches = 4096;
// The end of a flow waits this long for a datagram that goes the same way.
constexpr base::clock_time endWaits = base::clock_time::ofSeconds(2);
constexpr base::clock_time firstRetry = base::clock_time::ofMillis(500);
constexpr std::uint32_t maxRetryDoublings = 4;

base::clock_time retryAfter(std::uint32_t attempts)
{
    return firstRetry * (std::int64_t(1) << std::min(attempts - 1, maxRetryDoublings));
}

// A flow that has ended since it was queued must not be registered any more.
bool isTrue(const flow_state &state, const registered_flow &flow)
{
    const owned_flow *known = state.owned.find(flow.key);
    const bool alive = known != nullptr && known->phase != flow_phase::ended;
    return alive == flow.alive;
}

std::vector<registered_flow> takeQueued(flow_state &state, registration_queue &queue)
{
    std::vector<registered_flow> flows;
    while (!queue.flows.empty() && flows.size() < maxFlowsInBatch) {
        if (isTrue(state, queue.flows.front()))
            flows.push_back(queue.flows.front());
        queue.flows.pop_front();
    }
    return flows;
}

void sendBatch(flow_context &context, const routing::target &to, registration_batch batch,
               std::uint32_t attempts)
{
    registrar_state &registrar = context.state.registrar;
    context.actions.emplace_back(send_to_peer {to.packets, batch});
    registrar.pending.erase(batch.sequence);
    if (registrar.pending.size() >= maxPendingBatches)
        return;
    const std::uint32_t sequence = batch.sequence;
    registrar.pending.emplace(
        sequence,
        pending_batch {to, std::move(batch), context.now + retryAfter(attempts), attempts});
}

// Sends one batch of what is queued for the agent. Returns how many flows it carried.
std::size_t flush(flow_context &context, const routing::target &to)
{
    flow_state &state = context.state;
    const auto found = state.registrar.queued.find(to.node);
    if (found == state.registrar.queued.end())
        return 0;
    const std::vector<registered_flow> flows = takeQueued(state, found->second);
    if (found->second.flows.empty())
        state.registrar.queued.erase(found);
    if (flows.empty())
        return 0;
    state.registrar.lastSequence += 1;
    sendBatch(context, to,
              registration_batch {state.identity->service, selfTarget(state),
                                  currentGeneration(state), state.registrar.lastSequence, flows},
              1);
    return flows.size();
}

// Two agents at most: the flow's director and its backup.
std::vector<routing::target> registrantsOf(const flow_state &state, const base::flow_key &key)
{
    const routing::target *director = directorOf(state, key);
    const routing::target *backup = backupOf(state, key);
    if (director == nullptr || backup == nullptr)
        return {};
    if (director->node == backup->node)
        return {*director};
    return {*director, *backup};
}

void sendDue(flow_context &context)
{
    std::vector<base::node_id> due;
    const std::map<base::node_id, registration_queue> &queued = context.state.registrar.queued;
    for (auto it = queued.begin(); it != queued.end(); ++it) {
        if (it->second.dueAt <= context.now)
            due.push_back(it->first);
    }
    std::size_t sent = 0;
    for (const base::node_id node : due) {
        const std::optional<routing::target> to = targetOf(context.state, node);
        if (!to)
            context.state.registrar.queued.erase(node);
        while (to && sent < pacedFlowsInTick && context.state.registrar.queued.count(node) > 0)
            sent += std::max<std::size_t>(flush(context, *to), 1);
    }
}

void repeat(flow_context &context, const pending_batch &late)
{
    const std::optional<routing::target> to = targetOf(context.state, late.to.node);
    std::vector<registered_flow> flows;
    for (const registered_flow &flow : late.batch.flows) {
        if (isTrue(context.state, flow))
            flows.push_back(flow);
    }
    context.state.registrar.pending.erase(late.batch.sequence);
    if (!to || to->incarnation != late.to.incarnation || flows.empty())
        return;
    sendBatch(context, *to,
              registration_batch {late.batch.service, late.batch.owner,
                                  currentGeneration(context.state), late.batch.sequence, flows},
              late.attempts + 1);
}

void sendLate(flow_context &context)
{
    std::vector<pending_batch> late;
    const std::map<std::uint32_t, pending_batch> &pending = context.state.registrar.pending;
    for (auto it = pending.begin(); it != pending.end(); ++it) {
        if (it->second.retryAt <= context.now)
            late.push_back(it->second);
    }
    for (const pending_batch &batch : late)
        repeat(context, batch);
}

} // namespace

void registerWith(flow_context &context, const routing::target &to, const base::flow_key &key,
                  bool alive, base::clock_time dueAt)
{
    if (isSelf(context.state, to.node))
        return;
    registration_queue &queue = context.state.registrar.queued[to.node];
    if (queue.flows.empty() || dueAt < queue.dueAt)
        queue.dueAt = dueAt;
    queue.flows.push_back(registered_flow {key, alive});
}

void registerNow(flow_context &context, const base::flow_key &key)
{
    for (const routing::target &to : registrantsOf(context.state, key)) {
        registerWith(context, to, key, true, context.now);
        flush(context, to);
    }
}

void registerLater(flow_context &context, const base::flow_key &key, bool alive)
{
    const base::clock_time dueAt = alive ? context.now : context.now + endWaits;
    for (const routing::target &to : registrantsOf(context.state, key))
        registerWith(context, to, key, alive, dueAt);
}

void handleRegistrationAck(flow_context &context, const registration_ack &ack)
{
    if (ack.incarnation != context.state.identity->incarnation)
        return;
    const auto found = context.state.registrar.pending.find(ack.sequence);
    if (found != context.state.registrar.pending.end() && found->second.to.node == ack.from)
        context.state.registrar.pending.erase(found);
}

void registrarTick(flow_context &context)
{
    sendDue(context);
    sendLate(context);
}

} // namespace lycheeshunt::flows::internal
