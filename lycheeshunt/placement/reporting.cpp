#include "lycheeshunt/placement/reporting.h"

#include "lycheeshunt/placement/cost.h"

#include <algorithm>

namespace lycheeshunt::placement {

namespace {

// Size of a load report with its IP and UDP headers. The server's time is one byte of it up to 127
// ms, and up to two more otherwise.
constexpr double reportBytes = 64;
constexpr std::uint32_t maxByteMillis = 127;
constexpr double longTimeBytes = 2;
// Interval of reports when nothing changes, so that peers can detect a failed agent by its silence.
constexpr base::clock_time heartbeatInterval = base::clock_time::ofMillis(400);

double reportRoundBytes(const placement_state &state)
{
    const double each
        = reportBytes + (state.ownLoad->serviceMillis > maxByteMillis ? longTimeBytes : 0);
    return each * static_cast<double>(state.peers.size());
}

void refillBudget(placement_state &state, base::clock_time now)
{
    const double elapsed = static_cast<double>((now - state.budgetAt).millis()) / 1000.0;
    state.budgetBytes = std::min(2 * reportRoundBytes(state),
                                 state.budgetBytes + elapsed * state.rules->reportBytesPerSecond);
    state.budgetAt = now;
}

bool hasQueue(const server_load &load)
{
    return load.slots.queued > 0;
}

// Agents with free slots must learn promptly that work is queued here. The budget reserves
// one round of reports for this.
bool isUrgent(const placement_state &state)
{
    return state.sentLoad && hasQueue(*state.ownLoad) && !hasQueue(*state.sentLoad);
}

bool hasFreeSlot(const server_load &load)
{
    return acceptsFlows(load) && !hasQueue(load) && load.slots.busy < load.slots.allowed;
}

// The reported queue length of a peer, less the requests for work sent to it since.
std::uint32_t remainingQueue(const peer_state &peerState)
{
    const std::uint32_t queued = peerState.report ? peerState.report->load.slots.queued : 0;
    return queued > peerState.requestedSinceReport ? queued - peerState.requestedSinceReport : 0;
}

// Whether a peer that has reported before is no longer a candidate for its silence.
bool isSilent(const placement_state &state, const peer_state &peerState, base::clock_time now)
{
    const base::clock_time evictAfter = state.rules->evictAfter;
    return peerState.report && evictAfter > base::clock_time()
        && now - peerState.lastHeard >= evictAfter;
}

} // namespace

void sendReports(placement_state &state, base::clock_time now, action_list &actions)
{
    refillBudget(state, now);
    const double needed = reportRoundBytes(state) * (isUrgent(state) ? 1 : 2);
    const bool changed = !state.sentLoad || *state.sentLoad != *state.ownLoad;
    if (state.budgetBytes < needed || (!changed && now - state.sentAt < heartbeatInterval))
        return;
    state.budgetBytes -= reportRoundBytes(state);
    state.sentLoad = state.ownLoad;
    state.sentAt = now;
    ++state.sequence;
    for (const auto &[node, peerState] : state.peers)
        actions.emplace_back(
            send_report {node,
                         load_report {state.self->node, state.self->incarnation, state.sequence,
                                      *state.ownLoad, isSilent(state, peerState, now)}});
}

void requestWork(placement_state &state, base::clock_time now, action_list &actions)
{
    refillBudget(state, now);
    if (!state.rules->requestsWork || !hasFreeSlot(*state.ownLoad) || state.ownLoad->failing
        || state.budgetBytes < reportBytes)
        return;
    const auto isShorter = [](const auto &left, const auto &right) {
        return remainingQueue(left.second) < remainingQueue(right.second);
    };
    const auto longest = std::max_element(state.peers.begin(), state.peers.end(), isShorter);
    if (longest == state.peers.end() || remainingQueue(longest->second) == 0)
        return;
    state.budgetBytes -= reportBytes;
    ++longest->second.requestedSinceReport;
    actions.emplace_back(request_work {longest->first});
}

void releaseWork(const placement_state &state, const work_requested &request, action_list &actions)
{
    if (hasQueue(*state.ownLoad) && state.peers.contains(request.from))
        actions.emplace_back(release_work {request.from});
}

} // namespace lycheeshunt::placement
