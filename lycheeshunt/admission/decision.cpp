#include "lycheeshunt/admission/decision.h"

#include "lycheeshunt/base/overloaded.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace lycheeshunt::admission {

namespace {

using admission_step = base::step<admission_state, admission_action>;
using action_list = std::vector<admission_action>;
using queue_place = std::list<queued_work>::iterator;

// Share of its slots that a server keeps after it shed load.
constexpr double shedFactor = 0.7;
// Sheds closer together than this are one event.
constexpr base::clock_time shedSpan = base::clock_time::ofMillis(100);
constexpr double coldSlots = 2;
// Weight of the newest sample in the mean holding time.
constexpr double meanWeight = 0.05;
// Work is refused on arrival when its expected wait is more than this share of the bound, so that
// work that was let in seldom waits in vain.
constexpr double expectedWaitShare = 0.8;

bool isLong(const admission_state &state, const running_work &work, base::clock_time now)
{
    return work.likelyLong || now - work.since >= state.limits->longWorkAge;
}

std::uint32_t longBusy(const admission_state &state, base::clock_time now)
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

queue_place firstShort(admission_state &state)
{
    return std::find_if(state.queue.begin(), state.queue.end(),
                        [](const queued_work &work) { return !work.likelyLong; });
}

// Likely long work stays out of the last slots, unless it has waited long while no short work did.
bool mayStartLong(const admission_state &state, const queued_work &work, base::clock_time now)
{
    const std::uint32_t allowed = allowedSlots(state);
    const std::uint32_t reserved = std::min(state.limits->shortOnlySlots, allowed - 1);
    if (longBusy(state, now) < allowed - reserved)
        return true;
    return now - work.arrived >= state.limits->queueWait / 2;
}

std::optional<queue_place> nextToStart(admission_state &state, base::clock_time now)
{
    if (state.queue.empty() || state.running.size() >= allowedSlots(state))
        return std::nullopt;
    const queue_place shortWork = firstShort(state);
    if (shortWork != state.queue.end())
        return shortWork;
    if (mayStartLong(state, state.queue.front(), now))
        return state.queue.begin();
    return std::nullopt;
}

void startWaiting(admission_state &state, base::clock_time now, action_list &actions)
{
    while (const std::optional<queue_place> next = nextToStart(state, now)) {
        const queued_work &work = **next;
        state.running.emplace(work.id, running_work {now, work.deadline, work.likelyLong});
        actions.emplace_back(dispatch_work {work.id});
        state.queue.erase(*next);
    }
}

std::optional<base::error_code> expiryOf(const admission_state &state, const queued_work &work,
                                         base::clock_time now)
{
    if (work.deadline <= now)
        return base::error_code::deadlinePassed;
    if (now - work.arrived >= state.limits->queueWait)
        return base::error_code::queueWaitExceeded;
    return std::nullopt;
}

void expireWaiting(admission_state &state, base::clock_time now, action_list &actions)
{
    for (auto it = state.queue.begin(); it != state.queue.end();) {
        const std::optional<base::error_code> reason = expiryOf(state, *it, now);
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
    state.running.emplace(id, running_work {work.since, work.deadline, work.likelyLong, true});
    actions.emplace_back(cancel_at_server {id});
}

void cancelLate(admission_state &state, base::clock_time now, action_list &actions)
{
    std::vector<work_id> late;
    for (const auto &[id, work] : state.running) {
        if (!work.cancelled && work.deadline <= now)
            late.push_back(id);
    }
    for (const work_id id : late)
        cancelRunning(state, id, actions);
}

// Refusal that new work meets on arrival, if any.
std::optional<base::error_code> refusalOf(const admission_state &state, base::clock_time deadline,
                                          base::clock_time now)
{
    if (state.draining)
        return base::error_code::serverDraining;
    if (deadline <= now)
        return base::error_code::deadlinePassed;
    if (state.queue.empty() && state.running.size() < allowedSlots(state))
        return std::nullopt;
    if (state.queue.size() >= state.limits->queueLength)
        return base::error_code::queueFull;
    const std::uint32_t held = longBusy(state, now);
    const std::uint32_t allowed = allowedSlots(state);
    if (held >= allowed)
        return base::error_code::slotsHeldByLongWork;
    const double expected = state.meanShortMillis * static_cast<double>(state.queue.size() + 1)
        / static_cast<double>(allowed - held);
    const base::clock_time bound = std::min(state.limits->queueWait, deadline - now);
    if (expected > expectedWaitShare * static_cast<double>(bound.millis()))
        return base::error_code::waitTooLong;
    return std::nullopt;
}

void arrive(admission_state &state, const work_arrived &work, base::clock_time now,
            action_list &actions)
{
    if (const std::optional<base::error_code> reason = refusalOf(state, work.deadline, now)) {
        actions.emplace_back(refuse_work {work.id, *reason});
        return;
    }
    state.queue.push_back(queued_work {work.id, now, work.deadline, work.likelyLong});
}

void cancel(admission_state &state, work_id id, action_list &actions)
{
    const auto waiting = std::find_if(state.queue.begin(), state.queue.end(),
                                      [id](const queued_work &work) { return work.id == id; });
    if (waiting == state.queue.end()) {
        cancelRunning(state, id, actions);
        return;
    }
    state.queue.erase(waiting);
    actions.emplace_back(refuse_work {id, base::error_code::workCancelled});
}

// Gives up the work that has waited longest, since it is the nearest to its bound.
void giveWork(admission_state &state, action_list &actions)
{
    const queue_place oldest = firstShort(state);
    if (oldest == state.queue.end())
        return;
    actions.emplace_back(transfer_work {oldest->id});
    state.queue.erase(oldest);
}

void learnMean(admission_state &state, base::clock_time held)
{
    const double sample = static_cast<double>(held.millis());
    const bool first = state.meanShortMillis <= 0;
    state.meanShortMillis += (first ? 1.0 : meanWeight) * (sample - state.meanShortMillis);
}

// Additive increase: one slot more for each round of answers from all slots in use.
void growAllowed(admission_state &state)
{
    const double ceiling = state.limits->slots;
    state.allowed = std::min(ceiling, state.allowed + 1.0 / std::max(1.0, state.allowed));
}

void cutAllowed(admission_state &state, base::clock_time now)
{
    if (state.lastCut && now - *state.lastCut < shedSpan)
        return;
    state.lastCut = now;
    state.allowed = std::max(1.0, state.allowed * shedFactor);
}

void end(admission_state &state, const work_ended &ended, base::clock_time now,
         action_list &actions)
{
    const auto found = state.running.find(ended.id);
    if (found == state.running.end())
        return;
    const bool wasLong = isLong(state, found->second, now);
    const base::clock_time held = now - found->second.since;
    state.running.erase(found);
    if (ended.how == work_outcome::shed) {
        actions.emplace_back(refuse_work {ended.id, base::error_code::serverShedding});
        cutAllowed(state, now);
    }
    if (ended.how != work_outcome::answered)
        return;
    growAllowed(state);
    if (!wasLong)
        learnMean(state, held);
}

void restart(admission_state &state, action_list &actions)
{
    for (auto it = state.running.begin(); it != state.running.end(); ++it)
        actions.emplace_back(report_work_lost {it->first});
    state.running.clear();
    state.allowed = std::min(coldSlots, static_cast<double>(state.limits->slots));
    state.meanShortMillis = 0;
}

void changeLimits(admission_state &state, const tickets::service_limits &limits)
{
    const bool wasFull = state.allowed >= state.limits->slots;
    state.limits = std::make_shared<const tickets::service_limits>(limits);
    if (wasFull || state.allowed > limits.slots)
        state.allowed = limits.slots;
}

void changeDrain(admission_state &state, bool draining)
{
    state.draining = draining;
    state.emptyReported = false;
}

void reportEmpty(admission_state &state, action_list &actions)
{
    if (!state.draining || state.emptyReported || !state.running.empty() || !state.queue.empty())
        return;
    state.emptyReported = true;
    actions.emplace_back(report_drained {});
}

} // namespace

admission_step decide(admission_state state, const admission_message &message, base::clock_time now)
{
    action_list actions;
    expireWaiting(state, now, actions);
    std::visit(base::overloaded {
                   [&](const work_arrived &work) { arrive(state, work, now, actions); },
                   [&](const work_cancelled &work) { cancel(state, work.id, actions); },
                   [&](const work_ended &ended) { end(state, ended, now, actions); },
                   [&](const queued_work_requested &) { giveWork(state, actions); },
                   [&](const drain_changed &change) { changeDrain(state, change.draining); },
                   [&](const limits_changed &change) { changeLimits(state, change.limits); },
                   [&](const server_restarted &) { restart(state, actions); },
                   [](const admission_tick &) {},
               },
               message);
    cancelLate(state, now, actions);
    startWaiting(state, now, actions);
    reportEmpty(state, actions);
    return admission_step {std::move(state), std::move(actions)};
}

slot_counts countsOf(const admission_state &state, base::clock_time now)
{
    const bool accepting = !refusalOf(state, now + state.limits->queueWait, now);
    return slot_counts {allowedSlots(state),  static_cast<std::uint32_t>(state.running.size()),
                        longBusy(state, now), static_cast<std::uint32_t>(state.queue.size()),
                        state.draining,       accepting};
}

} // namespace lycheeshunt::admission
