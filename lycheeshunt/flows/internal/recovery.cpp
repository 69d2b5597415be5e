#include "lycheeshunt/flows/internal/recovery.h"

#include "lycheeshunt/flows/internal/ownership.h"
#include "lycheeshunt/flows/internal/service_view.h"

#include <algorithm>

namespace lycheeshunt::flows::internal {

namespace {

constexpr std::size_t maxFlowsInPage = 50;
constexpr base::clock_time retryInterval = base::clock_time::ofMillis(200);
// Shorter than the timeout of a lookup, so that recovered flows are known when the lookup ends.
constexpr base::clock_time recoveryTimeout = base::clock_time::ofMillis(1500);
// Longer than this after its start, no caller's TCP still retransmits packets of earlier flows.
constexpr base::clock_time recentStartPeriod = base::clock_time::ofSeconds(900);

void sendRequest(flow_context &context, base::node_id node, const base::flow_key &after)
{
    const std::optional<routing::target> to = targetOf(context.state, node);
    if (to)
        context.actions.emplace_back(send_to_peer {
            to->packets,
            recovery_request {context.state.identity->service, selfTarget(context.state), after}});
}

} // namespace

void startRecovery(flow_context &context)
{
    recovery_state &recovery = context.state.recovery;
    if (recovery.startedAt)
        return;
    recovery.startedAt = context.now;
    recovery.nextRetryAt = context.now + retryInterval;
    for (const routing::target &agent : otherAgents(context.state)) {
        recovery.pendingRequests.emplace(agent.node, base::flow_key {});
        sendRequest(context, agent.node, base::flow_key {});
    }
}

bool isRecovering(const flow_state &state)
{
    return !state.recovery.pendingRequests.empty();
}

bool hasStartedRecently(const flow_state &state, base::clock_time now)
{
    return state.recovery.startedAt && now - *state.recovery.startedAt < recentStartPeriod;
}

void handleRecoveryRequest(flow_context &context, const recovery_request &request)
{
    const flow_state &state = context.state;
    if (request.service != state.identity->service)
        return;
    std::vector<const base::flow_key *> keys;
    for (auto it = state.directory.begin(); it != state.directory.end(); ++it) {
        if (it->second.owner.node == request.asker.node && it->first > request.after)
            keys.push_back(&it->first);
    }
    const std::size_t count = std::min(keys.size(), maxFlowsInPage);
    std::partial_sort(
        keys.begin(), keys.begin() + static_cast<std::ptrdiff_t>(count), keys.end(),
        [](const base::flow_key *left, const base::flow_key *right) { return *left < *right; });
    std::vector<base::flow_key> page;
    for (std::size_t i = 0; i < count; ++i)
        page.push_back(*keys[i]);
    context.actions.emplace_back(send_to_peer {
        request.asker.packets,
        recovery_page {request.service, state.identity->node, request.asker.incarnation,
                       std::move(page), keys.size() > count}});
}

void handleRecoveryPage(flow_context &context, const recovery_page &page)
{
    flow_state &state = context.state;
    const auto pending = state.recovery.pendingRequests.find(page.from);
    if (page.service != state.identity->service
        || page.askerIncarnation != state.identity->incarnation
        || pending == state.recovery.pendingRequests.end())
        return;
    for (const base::flow_key &key : page.flows) {
        if (state.owned.find(key) == nullptr && state.owned.size() < state.maxOwned)
            takeOwnership(context, key, flow_phase::open);
    }
    state.recovery.pendingRequests.erase(pending);
    if (!page.more || page.flows.empty())
        return;
    state.recovery.pendingRequests.emplace(page.from, page.flows.back());
    sendRequest(context, page.from, page.flows.back());
}

void recoveryTick(flow_context &context)
{
    recovery_state &recovery = context.state.recovery;
    if (recovery.pendingRequests.empty() || context.now < recovery.nextRetryAt)
        return;
    if (context.now - *recovery.startedAt >= recoveryTimeout) {
        recovery.pendingRequests.clear();
        return;
    }
    recovery.nextRetryAt = context.now + retryInterval;
    for (auto it = recovery.pendingRequests.begin(); it != recovery.pendingRequests.end(); ++it)
        sendRequest(context, it->first, it->second);
}

} // namespace lycheeshunt::flows::internal
