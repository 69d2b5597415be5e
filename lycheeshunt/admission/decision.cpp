#include "lycheeshunt/admission/decision.h"

#include "lycheeshunt/base/fault.h"
#include "lycheeshunt/base/overloaded.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace lycheeshunt::admission {

namespace {

using admission_step = base::step<admission_state, admission_action>;
using action_list = std::vector<admission_action>;
using queue_iterator = std::list<queued_work>::iterator;

// Multiplicative decrease: the concurrency limit is multiplied by this after the server shed load.
constexpr double shedFactor = 0.7;
// Sheds within this interval count as one overload event and decrease the limit once.
constexpr base::clock_time shedInterval = base::clock_time::ofMillis(100);
// Concurrency limit of a server that has just restarted and is cold.
constexpr double slotsAfterRestart = 2;
// Weight of the newest sample in the moving average of the slot occupancy time.
constexpr double meanWeight = 0.05;
// Work is refused on arrival when its expected wait exceeds this share of the maximum wait, so
// that admitted work seldom expires in the queue.
constexpr double maxExpectedWaitShare = 0.8;

bool isLong(const admission_state &state, const running_work &work, base::clock_time now)
{
    return work.expectedLong || now - work.startedAt >= state.limits->longWorkAge;
}

std::uint32_t countLongSlots(const admission_state &state, base::clock_time now)
{
    return static_cast<std::uint32_t>(
        std::count_if(state.running.begin(), state.running.end(),
                      [&](const std::pair<const work_id, running_work> &entry) {
                          return isLong(state, entry.second, now);
                      }));
}

std::uint32_t allowedSlots(const admission_state &state)
{
    const double bounded = std::min(state.allowed, static_cast<double>(state.limits->slots));
    return static_cast<std::uint32_t>(std::max(1.0, std::floor(bounded)));
}

queue_iterator findFirstShort(admission_state &state)
{
    return std::find_if(state.queue.begin(), state.queue.end(),
                        [](const queued_work &work) { return !work.expectedLong; });
}

// Precondition: no short work is queued. Work that is expected to be long may not use the slots
// reserved for short work, unless it has waited for half of the maximum queue wait.
bool mayStartLong(const admission_state &state, const queued_work &work, base::clock_time now)
{
    const std::uint32_t allowed = allowedSlots(state);
    const std::uint32_t reserved = std::min(state.limits->shortOnlySlots, allowed - 1);
    if (countLongSlots(state, now) < allowed - reserved)
        return true;
    return now - work.arrivedAt >= state.limits->queueWait / 2;
}

std::optional<queue_iterator> nextToDispatch(admission_state &state, base::clock_time now)
{
    if (state.queue.empty() || state.running.size() >= allowedSlots(state))
        return std::nullopt;
    const queue_iterator shortWork = findFirstShort(state);
    if (shortWork != state.queue.end())
        return shortWork;
    if (mayStartLong(state, state.queue.front(), now))
        return state.queue.begin();
    return std::nullopt;
}

void dispatchQueued(admission_state &state, base::clock_time now, action_list &actions)
{
    while (const std::optional<queue_iterator> next = nextToDispatch(state, now)) {
        const queued_work &work = **next;
        state.running.emplace(work.id, running_work {now, work.deadline, work.expectedLong});
        actions.emplace_back(dispatch_work {work.id});
        state.queue.erase(*next);
    }
}

std::optional<base::error_code> expiryReason(const admission_state &state, const queued_work &work,
                                             base::clock_time now)
{
    if (work.deadline <= now)
        return base::error_code::deadlinePassed;
    if (now - work.arrivedAt >= state.limits->queueWait)
        return base::error_code::queueWaitExceeded;
    return std::nullopt;
}

void expireQueued(admission_state &state, base::clock_time now, action_list &actions)
{
    for (auto it = state.queue.begin(); it != state.queue.end();) {
        const std::optional<base::error_code> reason = expiryReason(state, *it, now);
        if (reason)
            actions.emplace_back(refuse_work {it->id, *reason});
        it = reason ? state.queue.erase(it) : std::next(it);
    }
}

void cancelRunning(admission_state &state, work_id id, action_list &actions)
{
    const auto found = state.running.find(id);
    if (found == state.running.end() || found->second.cancelled)
        return;
    const running_work work = found->second;
    state.running.erase(found);
    state.running.emplace(id,
                          running_work {work.startedAt, work.deadline, work.expectedLong, true});
    actions.emplace_back(cancel_at_server {id});
}

void cancelOverdue(admission_state &state, base::clock_time now, action_list &actions)
{
    std::vector<work_id> overdue;
    for (const auto &[id, work] : state.running) {
        if (!work.cancelled && work.deadline <= now)
            overdue.push_back(id);
    }
    for (const work_id id : overdue)
        cancelRunning(state, id, actions);
}

// Returns why new work would be refused on arrival, if it would be.
std::optional<base::error_code> refusalReason(const admission_state &state,
                                              base::clock_time deadline, base::clock_time now)
{
    if (state.draining)
        return base::error_code::serverDraining;
    if (deadline <= now)
        return base::error_code::deadlinePassed;
    if (state.queue.empty() && state.running.size() < allowedSlots(state))
        return std::nullopt;
    if (state.queue.size() >= state.limits->queueLength)
        return base::error_code::queueFull;
    const std::uint32_t longSlots = countLongSlots(state, now);
    const std::uint32_t allowed = allowedSlots(state);
    if (longSlots >= allowed)
        return base::error_code::slotsHeldByLongWork;
    const double expectedWait = state.meanShortMillis * static_cast<double>(state.queue.size() + 1)
        / static_cast<double>(allowed - longSlots);
    const base::clock_time maxWait = std::min(state.limits->queueWait, deadline - now);
    if (expectedWait > maxExpectedWaitShare * static_cast<double>(maxWait.millis()))
        return base::error_code::waitTooLong;
    return std::nullopt;
}

void handleArrival(admission_state &state, const work_arrived &work, base::clock_time now,
                   action_list &actions)
{
    if (const std::optional<base::error_code> reason = refusalReason(state, work.deadline, now)) {
        actions.emplace_back(refuse_work {work.id, *reason});
        return;
    }
    state.queue.push_back(queued_work {work.id, now, work.deadline, work.expectedLong});
}

void cancelWork(admission_state &state, work_id id, action_list &actions)
{
    const auto queued = std::find_if(state.queue.begin(), state.queue.end(),
                                     [id](const queued_work &work) { return work.id == id; });
    if (queued == state.queue.end()) {
        cancelRunning(state, id, actions);
        return;
    }
    state.queue.erase(queued);
    actions.emplace_back(refuse_work {id, base::error_code::workCancelled});
}

// Transfers the short work that has waited longest, as it is the closest to its maximum wait.
void transferOldestShort(admission_state &state, action_list &actions)
{
    const queue_iterator oldest = findFirstShort(state);
    if (oldest == state.queue.end())
        return;
    actions.emplace_back(transfer_work {oldest->id});
    state.queue.erase(oldest);
}

void updateMeanOccupancy(admission_state &state, base::clock_time occupancy)
{
    const double sample = static_cast<double>(occupancy.millis());
    const bool first = state.meanShortMillis <= 0;
    state.meanShortMillis += (first ? 1.0 : meanWeight) * (sample - state.meanShortMillis);
}

// Additive increase: the limit grows by one slot once every slot within it has answered.
void increaseAllowed(admission_state &state)
{
    const double ceiling = state.limits->slots;
    state.allowed = std::min(ceiling, state.allowed + 1.0 / std::max(1.0, state.allowed));
}

void decreaseAllowed(admission_state &state, base::clock_time now)
{
    if (state.lastDecrease && now - *state.lastDecrease < shedInterval)
        return;
    state.lastDecrease = now;
    state.allowed = std::max(1.0, state.allowed * shedFactor);
}

void handleEnd(admission_state &state, const work_ended &ended, base::clock_time now,
               action_list &actions)
{
    const auto found = state.running.find(ended.id);
    if (found == state.running.end())
        return;
    const bool wasLong = isLong(state, found->second, now);
    const base::clock_time occupancy = now - found->second.startedAt;
    state.running.erase(found);
    if (ended.outcome == work_outcome::shed) {
        actions.emplace_back(refuse_work {ended.id, base::error_code::serverShedding});
        decreaseAllowed(state, now);
    }
    if (ended.outcome != work_outcome::answered)
        return;
    increaseAllowed(state);
    if (!wasLong)
        updateMeanOccupancy(state, occupancy);
}

void handleRestart(admission_state &state, action_list &actions)
{
    for (auto it = state.running.begin(); it != state.running.end(); ++it)
        actions.emplace_back(report_work_lost {it->first});
    state.running.clear();
    state.allowed = std::min(slotsAfterRestart, static_cast<double>(state.limits->slots));
    state.meanShortMillis = 0;
}

void applyLimits(admission_state &state, const tickets::service_limits &limits)
{
    const bool wasFull = state.allowed >= state.limits->slots;
    state.limits = std::make_shared<const tickets::service_limits>(limits);
    if (wasFull || state.allowed > limits.slots)
        state.allowed = limits.slots;
}

void setDraining(admission_state &state, bool draining)
{
    state.draining = draining;
    state.drainedReported = false;
}

void reportDrained(admission_state &state, action_list &actions)
{
    if (!state.draining || state.drainedReported || !state.running.empty() || !state.queue.empty())
        return;
    state.drainedReported = true;
    actions.emplace_back(report_drained {});
}

} // namespace

admission_step decide(admission_state state, const admission_message &message, base::clock_time now)
{
    action_list actions;
    const std::optional<base::error> fault = base::faultOf([&]() {
        expireQueued(state, now, actions);
        std::visit(base::overloaded {
                       [&](const work_arrived &work) { handleArrival(state, work, now, actions); },
                       [&](const work_cancelled &work) { cancelWork(state, work.id, actions); },
                       [&](const work_ended &ended) { handleEnd(state, ended, now, actions); },
                       [&](const queued_work_requested &) { transferOldestShort(state, actions); },
                       [&](const drain_changed &change) { setDraining(state, change.draining); },
                       [&](const limits_changed &change) { applyLimits(state, change.limits); },
                       [&](const server_restarted &) { handleRestart(state, actions); },
                       [](const admission_tick &) {},
                   },
                   message);
        cancelOverdue(state, now, actions);
        dispatchQueued(state, now, actions);
        reportDrained(state, actions);
    });
    return admission_step {std::move(state), std::move(actions), fault};
}

slot_counts countsOf(const admission_state &state, base::clock_time now)
{
    const bool accepting = !refusalReason(state, now + state.limits->queueWait, now);
    return slot_counts {allowedSlots(state),
                        static_cast<std::uint32_t>(state.running.size()),
                        countLongSlots(state, now),
                        static_cast<std::uint32_t>(state.queue.size()),
                        state.draining,
                        accepting};
}

} // namespace lycheeshunt::admission
