#include "lycheeshunt/health/decision.h"

#include <optional>

namespace lycheeshunt::health {

namespace {

using membership::member_health;

// Two windows are kept, the present one and the one before.
constexpr base::clock_time windowSpan = base::clock_time::ofSeconds(5);
// Fewer outcomes than this prove nothing.
constexpr std::uint32_t leastOutcomes = 5;
// Seen as bad when at least this part fails, as good when at most the lesser part does.
constexpr std::uint32_t badPercent = 50;
constexpr std::uint32_t goodPercent = 20;
constexpr std::uint32_t wholePercent = 100;
constexpr std::uint32_t reportsToBelieve = 3;
constexpr base::clock_time reportLasts = base::clock_time::ofSeconds(10);
// Hysteresis: a verdict holds at least this long, so that it costs few membership changes.
constexpr base::clock_time leastVerdict = base::clock_time::ofSeconds(3);

outcome_window rolled(const outcome_window &window, base::clock_time now)
{
    const base::clock_time age = now - window.startedAt;
    if (age < windowSpan)
        return window;
    if (age < windowSpan * 2)
        return outcome_window {now, 0, 0, window.answered, window.failed};
    return outcome_window {now};
}

outcome_window withWork(const outcome_window &window, const observed_outcomes &work)
{
    return outcome_window {window.startedAt, window.answered + work.answered,
                           window.failed + work.failed, window.answeredBefore, window.failedBefore};
}

report_streak withReport(const report_streak &streak, const health_report &report,
                         base::clock_time now)
{
    const bool same = streak.health == report.health;
    return report_streak {report.health, same ? streak.length + 1 : 1, now};
}

// Nothing while too little is seen. Between the two bounds the present verdict stays.
std::optional<member_health> verdictOfSeen(const outcome_window &seen, member_health present)
{
    const std::uint32_t all = seen.allAnswered() + seen.allFailed();
    if (all < leastOutcomes)
        return std::nullopt;
    const std::uint32_t failedPercent = seen.allFailed() * wholePercent / all;
    if (failedPercent >= badPercent)
        return member_health::bad;
    if (failedPercent <= goodPercent)
        return member_health::good;
    return present;
}

std::optional<member_health> verdictOfReports(const report_streak &reported, base::clock_time now)
{
    if (reported.length < reportsToBelieve || now - reported.lastAt > reportLasts)
        return std::nullopt;
    return reported.health == reported_health::good ? member_health::good : member_health::bad;
}

} // namespace

health_state judge(const health_state &state, const health_observation &observation,
                   base::clock_time now)
{
    const outcome_window window = rolled(state.seen, now);
    const observed_outcomes *work = std::get_if<observed_outcomes>(&observation);
    const health_report *report = std::get_if<health_report>(&observation);
    const outcome_window seen = work != nullptr ? withWork(window, *work) : window;
    const report_streak reported
        = report != nullptr ? withReport(state.reported, *report, now) : state.reported;
    const std::optional<member_health> proven = verdictOfSeen(seen, state.verdict);
    const member_health wanted
        = proven ? *proven : verdictOfReports(reported, now).value_or(state.verdict);
    if (wanted == state.verdict || now - state.since < leastVerdict)
        return health_state {state.verdict, state.since, reported, seen};
    return health_state {wanted, now, reported, seen};
}

} // namespace lycheeshunt::health
