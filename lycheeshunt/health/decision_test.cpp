// Health endpoints that lag or report wrongly, against the outcomes that the agent observes.

#include "lycheeshunt/health/decision.h"

#include <functional>
#include <memory>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using namespace lycheeshunt::health;
using membership::member_health;

namespace {

// One second: the result of the poll and the outcomes that the agent observed.
struct second
{
    health_report report;
    observed_outcomes outcomes;
};

const health_report reportedGood {reported_health::good, 0};
const health_report reportedBad {reported_health::bad, 0};
const health_report reportedUnreachable {reported_health::unreachable, 0};
const observed_outcomes noOutcomes {0, 0};
const observed_outcomes allAnswered {4, 0};
const observed_outcomes allFailed {0, 4};
const observed_outcomes someFailed {2, 1};

struct health_case
{
    const char *name;
    std::function<second(int)> at;
    int seconds;
    member_health verdict;
    int changes;
};

} // namespace

TEST_GROUP(health) {};

TEST(health, observedOutcomesTakePrecedenceOverReports)
{
    const member_health good = member_health::good;
    const member_health bad = member_health::bad;
    const health_case cases[] = {
        {"endpoint good, all succeed",
         [](int) {
             return second {reportedGood, allAnswered};
         },
         30, good, 0},
        {"endpoint good, all fail",
         [](int) {
             return second {reportedGood, allFailed};
         },
         30, bad, 1},
        {"endpoint bad, all succeed",
         [](int) {
             return second {reportedBad, allAnswered};
         },
         30, good, 0},
        {"unreachable endpoint, all succeed",
         [](int) {
             return second {reportedUnreachable, allAnswered};
         },
         30, good, 0},
        {"idle, endpoint bad",
         [](int) {
             return second {reportedBad, noOutcomes};
         },
         30, bad, 1},
        {"idle, endpoint unreachable",
         [](int) {
             return second {reportedUnreachable, noOutcomes};
         },
         30, bad, 1},
        {"idle, endpoint alternating",
         [](int i) {
             return second {i % 2 == 0 ? reportedGood : reportedBad, noOutcomes};
         },
         60, good, 0},
        {"some fail, too few for bad and too many for good, endpoint good",
         [](int) {
             return second {reportedGood, someFailed};
         },
         30, good, 0},
        {"fails, then recovers, while the endpoint lags 10 s",
         [](int i) {
             return second {i >= 20 && i < 30 ? reportedBad : reportedGood,
                            i >= 10 && i < 20 ? allFailed : allAnswered};
         },
         60, good, 2},
        {"endpoint stuck at bad after recovery",
         [](int i) {
             return second {reportedBad, i < 10 ? allFailed : allAnswered};
         },
         40, good, 2},
        {"outcomes alternate every second, endpoint good",
         [](int i) {
             return second {reportedGood, i % 2 == 0 ? allAnswered : allFailed};
         },
         40, bad, 1},
    };
    for (const health_case &row : cases) {
        std::unique_ptr<const health_state> state = std::make_unique<const health_state>();
        int changes = 0;
        for (int i = 0; i < row.seconds; ++i) {
            const base::clock_time now = base::clock_time::ofSeconds(100 + i);
            const second observed = row.at(i);
            const health_state polled = evaluate(*state, observed.report, now);
            const health_state next = evaluate(polled, observed.outcomes, now);
            changes += next.verdict != state->verdict ? 1 : 0;
            state = std::make_unique<const health_state>(next);
        }
        CHECK_TEXT(state->verdict == row.verdict, row.name);
        LONGS_EQUAL_TEXT(row.changes, changes, row.name);
    }
}
