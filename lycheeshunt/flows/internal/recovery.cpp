#include "lycheeshunt/flows/internal/recovery.h"

#include "lycheeshunt/flows/internal/ownership.h"
#include "lycheeshunt/flows/internal/service_view.h"

#include <algorithm>

namespace lycheeshunt::flows::internal {

namespace {

constexpr std::size_t maxFlowsInPage = 50;
constexpr base::clock_time askEvery = base::clock_time::ofMillis(200);
// Shorter than packets are held, so that what came back counts for them.
constexpr base::clock_time askFor = base::clock_time::ofMillis(1500);
// As long as a caller's TCP goes on with its retransmissions.
constexpr base::clock_time lately = base::clock_time::ofSeconds(900);

void request(flow_context &context, base::node_id node, const base::flow_key &after)
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
    recovery.askAgainAt = context.now + askEvery;
    for (const routing::target &agent : otherAgents(context.state)) {
        recovery.asking.emplace(agent.node, base::flow_key {});
        request(context, agent.node, base::flow_key {});
    }
}

bool isRecovering(const flow_state &state)
{
    return !state.recovery.asking.empty();
}

bool hasStartedLately(const flow_state &state, base::clock_time now)
{
    return state.recovery.startedAt && now - *state.recovery.startedAt < lately;
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
    context.actions.emplace_back(
        send_to_peer {request.asker.packets,
                      recovery_page {request.service, state.identity->node, request.asker.life,
                                     std::move(page), keys.size() > count}});
}

void handleRecoveryPage(flow_context &context, const recovery_page &page)
{
    flow_state &state = context.state;
    const auto asked = state.recovery.asking.find(page.from);
    if (page.service != state.identity->service || page.askerLife != state.identity->life
        || asked == state.recovery.asking.end())
        return;
    for (const base::flow_key &key : page.flows) {
        if (state.owned.find(key) == nullptr && state.owned.size() < state.maxOwned)
            takeOwnership(context, key, flow_phase::open);
    }
    state.recovery.asking.erase(asked);
    if (!page.more || page.flows.empty())
        return;
    state.recovery.asking.emplace(page.from, page.flows.back());
    request(context, page.from, page.flows.back());
}

void recoveryTick(flow_context &context)
{
    recovery_state &recovery = context.state.recovery;
    if (recovery.asking.empty() || context.now < recovery.askAgainAt)
        return;
    if (context.now - *recovery.startedAt >= askFor) {
        recovery.asking.clear();
        return;
    }
    recovery.askAgainAt = context.now + askEvery;
    for (auto it = recovery.asking.begin(); it != recovery.asking.end(); ++it)
        request(context, it->first, it->second);
}

} // namespace lycheeshunt::flows::internal
