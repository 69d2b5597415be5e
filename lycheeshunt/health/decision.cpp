#include "lycheeshunt/health/decision.h"

#include <optional>

namespace lycheeshunt::health {

namespace {

using membership::member_health;

// Length of a window. Outcomes of the current window and of the previous one count.
constexpr base::clock_time windowLength = base::clock_time::ofSeconds(5);
// Fewer outcomes than this yield no verdict.
constexpr std::uint32_t minOutcomes = 5;
// The observed verdict is bad from badPercent failures upwards and good up to goodPercent.
constexpr std::uint32_t badPercent = 50;
constexpr std::uint32_t goodPercent = 20;
constexpr std::uint32_t fullPercent = 100;
// Reports count once this many in a row agree and the last of them is recent.
constexpr std::uint32_t minEqualReports = 3;
constexpr base::clock_time maxReportAge = base::clock_time::ofSeconds(10);
// Hysteresis: a verdict is kept for at least this time, which limits the rate of membership
// changes.
constexpr base::clock_time minVerdictDuration = base::clock_time::ofSeconds(3);

outcome_window advanceWindow(const outcome_window &window, base::clock_time now)
{
    const base::clock_time age = now - window.startedAt;
    if (age < windowLength)
        return window;
    if (age < windowLength * 2)
        return outcome_window {now, 0, 0, window.answered, window.failed};
    return outcome_window {now};
}

outcome_window addOutcomes(const outcome_window &window, const observed_outcomes &outcomes)
{
    return outcome_window {window.startedAt, window.answered + outcomes.answered,
                           window.failed + outcomes.failed, window.previousAnswered,
                           window.previousFailed};
}

report_streak addReport(const report_streak &streak, const health_report &report,
                        base::clock_time now)
{
    const bool same = streak.health == report.health;
    return report_streak {report.health, same ? streak.length + 1 : 1, now};
}

// Returns nothing if there are too few outcomes. Between goodPercent and badPercent the current
// verdict stays.
std::optional<member_health> verdictFromOutcomes(const outcome_window &window,
                                                 member_health current)
{
    const std::uint32_t total = window.totalAnswered() + window.totalFailed();
    if (total < minOutcomes)
        return std::nullopt;
    const std::uint32_t failedPercent = window.totalFailed() * fullPercent / total;
    if (failedPercent >= badPercent)
        return member_health::bad;
    if (failedPercent <= goodPercent)
        return member_health::good;
    return current;
}

std::optional<member_health> verdictFromReports(const report_streak &reports, base::clock_time now)
{
    if (reports.length < minEqualReports || now - reports.lastReportAt > maxReportAge)
        return std::nullopt;
    return reports.health == reported_health::good ? member_health::good : member_health::bad;
}

} // namespace

health_state evaluate(const health_state &state, const health_observation &observation,
                      base::clock_time now)
{
    const outcome_window window = advanceWindow(state.observed, now);
    const observed_outcomes *outcomes = std::get_if<observed_outcomes>(&observation);
    const health_report *report = std::get_if<health_report>(&observation);
    const outcome_window observed = outcomes != nullptr ? addOutcomes(window, *outcomes) : window;
    const report_streak reports
        = report != nullptr ? addReport(state.reports, *report, now) : state.reports;
    const std::optional<member_health> observedVerdict
        = verdictFromOutcomes(observed, state.verdict);
    const member_health target = observedVerdict
        ? *observedVerdict
        : verdictFromReports(reports, now).value_or(state.verdict);
    if (target == state.verdict || now - state.verdictSince < minVerdictDuration)
        return health_state {state.verdict, state.verdictSince, reports, observed};
    return health_state {target, now, reports, observed};
}

} // namespace lycheeshunt::health
