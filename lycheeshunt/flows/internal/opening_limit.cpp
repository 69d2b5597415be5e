#include "lycheeshunt/flows/internal/opening_limit.h"

#include <algorithm>

namespace lycheeshunt::flows::internal {

namespace {

// How long the other agents are kept away once the last token was taken. Two changes a second are
// what the budget for load reports covers: a round to 16 agents costs 1,024 of 2,000 bytes/s.
constexpr base::clock_time closedAfterLastToken = base::clock_time::ofMillis(1000);

bool isCold(const flow_state &state, base::clock_time now)
{
    return state.identity->warmupSlack && now < state.server.openings.coldUntil;
}

// Without slack the bucket holds the token of one opening packet, or none would ever be delivered.
// In any second this still permits no more than a rate of 1 or more.
double capacityOf(const flow_state &state)
{
    const double slack = state.identity->warmupSlack.value_or(0);
    const bool permitsOne = state.server.openings.rate.value_or(0) >= 1;
    return std::max(slack, permitsOne ? 1.0 : 0.0);
}

double tokensAt(const flow_state &state, base::clock_time now)
{
    constexpr double millisPerSecond = 1000;
    const opening_tokens &openings = state.server.openings;
    const double elapsed = static_cast<double>((now - openings.refilledAt).millis());
    const double refilled = openings.rate.value_or(0) * std::max(0.0, elapsed) / millisPerSecond;
    return std::min(capacityOf(state), openings.left + refilled);
}

void refill(flow_context &context)
{
    opening_tokens &openings = context.state.server.openings;
    openings.left = tokensAt(context.state, context.now);
    openings.refilledAt = context.now;
}

} // namespace

bool hasOpeningToken(const flow_state &state, base::clock_time now)
{
    return !isCold(state, now) || !state.server.openings.rate || tokensAt(state, now) >= 1;
}

bool mayExceedLimit(const flow_state &state)
{
    return state.server.openings.rate == 0.0;
}

bool announcesOpenings(const flow_state &state, base::clock_time now)
{
    const opening_tokens &openings = state.server.openings;
    if (!isCold(state, now) || !openings.rate)
        return true;
    const bool isClosed = openings.emptyAt && now - *openings.emptyAt < closedAfterLastToken;
    return !isClosed && tokensAt(state, now) >= 1;
}

void takeOpeningToken(flow_context &context)
{
    // Counted also while the service has no rate, so that a rate that is set later holds at once.
    if (!isCold(context.state, context.now))
        return;
    refill(context);
    opening_tokens &openings = context.state.server.openings;
    openings.left = std::max(0.0, openings.left - 1);
    if (openings.left < 1)
        openings.emptyAt = context.now;
}

void handleWarmup(flow_context &context, const warmup_changed &changed)
{
    refill(context);
    opening_tokens &openings = context.state.server.openings;
    openings.coldUntil = changed.coldUntil;
    if (openings.serverStarts == changed.serverStarts)
        return;
    openings.serverStarts = changed.serverStarts;
    openings.left = capacityOf(context.state);
    openings.emptyAt.reset();
}

void updateWarmupRate(flow_context &context)
{
    flow_state &state = context.state;
    if (!state.view)
        return;
    const auto service = state.view->services.find(state.identity->service);
    if (service == state.view->services.end())
        return;
    // The time until now counts with the rate before.
    refill(context);
    state.server.openings.rate = service->second.limits.warmupRate;
}

} // namespace lycheeshunt::flows::internal
