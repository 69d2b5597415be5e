#include "lycheeshunt/flows/internal/registrar.h"

#include "lycheeshunt/flows/internal/service_view.h"

#include <algorithm>

namespace lycheeshunt::flows::internal {

namespace {

// Keeps a datagram below the usual MTU.
constexpr std::size_t maxFlowsInBatch = 50;
// Limits registrations to 64 KB/s, at ten ticks a second and about 20 bytes a flow.
constexpr std::size_t maxFlowsPerTick = 300;
constexpr std::size_t maxPendingBatches = 4096;
// The end of a flow is not urgent: it waits this long to share a datagram with other registrations.
constexpr base::clock_time endDelay = base::clock_time::ofSeconds(2);
constexpr base::clock_time firstRetry = base::clock_time::ofMillis(500);
constexpr std::uint32_t maxRetryDoublings = 4;

base::clock_time retryAfter(std::uint32_t attempts)
{
    return firstRetry * (std::int64_t(1) << std::min(attempts - 1, maxRetryDoublings));
}

// Whether the queued registration is still valid: the flow may have ended since it was queued.
bool isCurrent(const flow_state &state, const registered_flow &flow)
{
    const owned_flow *owned = state.owned.find(flow.key);
    const bool alive = owned != nullptr && owned->isClaimed();
    return alive == flow.alive;
}

std::vector<registered_flow> popQueued(flow_state &state, registration_queue &queue)
{
    std::vector<registered_flow> flows;
    while (!queue.flows.empty() && flows.size() < maxFlowsInBatch) {
        if (isCurrent(state, queue.flows.front()))
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

// Sends one batch of the flows queued for the agent. Returns the number of flows in it.
std::size_t sendQueuedBatch(flow_context &context, const routing::target &to)
{
    flow_state &state = context.state;
    const auto found = state.registrar.queued.find(to.node);
    if (found == state.registrar.queued.end())
        return 0;
    const std::vector<registered_flow> flows = popQueued(state, found->second);
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

// Empty when the service has no agent; a single agent when it is both.
std::vector<routing::target> directorAndBackupOf(const flow_state &state, const base::flow_key &key)
{
    const routing::target *director = directorOf(state, key);
    const routing::target *backup = backupOf(state, key);
    if (director == nullptr || backup == nullptr)
        return {};
    if (director->node == backup->node)
        return {*director};
    return {*director, *backup};
}

void sendDueBatches(flow_context &context)
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
        while (to && sent < maxFlowsPerTick && context.state.registrar.queued.count(node) > 0)
            sent += std::max<std::size_t>(sendQueuedBatch(context, *to), 1);
    }
}

void retransmit(flow_context &context, const pending_batch &overdue)
{
    const std::optional<routing::target> to = targetOf(context.state, overdue.to.node);
    std::vector<registered_flow> flows;
    for (const registered_flow &flow : overdue.batch.flows) {
        if (isCurrent(context.state, flow))
            flows.push_back(flow);
    }
    context.state.registrar.pending.erase(overdue.batch.sequence);
    if (!to || to->incarnation != overdue.to.incarnation || flows.empty())
        return;
    sendBatch(context, *to,
              registration_batch {overdue.batch.service, overdue.batch.owner,
                                  currentGeneration(context.state), overdue.batch.sequence, flows},
              overdue.attempts + 1);
}

void retransmitOverdue(flow_context &context)
{
    std::vector<pending_batch> overdue;
    const std::map<std::uint32_t, pending_batch> &pending = context.state.registrar.pending;
    for (auto it = pending.begin(); it != pending.end(); ++it) {
        if (it->second.retryAt <= context.now)
            overdue.push_back(it->second);
    }
    for (const pending_batch &batch : overdue)
        retransmit(context, batch);
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
    for (const routing::target &to : directorAndBackupOf(context.state, key)) {
        registerWith(context, to, key, true, context.now);
        sendQueuedBatch(context, to);
    }
}

void registerLater(flow_context &context, const base::flow_key &key, bool alive)
{
    const base::clock_time dueAt = alive ? context.now : context.now + endDelay;
    for (const routing::target &to : directorAndBackupOf(context.state, key))
        registerWith(context, to, key, alive, dueAt);
}

void registerGivenUp(flow_context &context, const base::flow_key &key)
{
    for (const routing::target &to : directorAndBackupOf(context.state, key))
        registerWith(context, to, key, false, context.now);
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
    sendDueBatches(context);
    retransmitOverdue(context);
}

} // namespace lycheeshunt::flows::internal
