// A table of health endpoints that lag or lie, against what the agent sees.

#include "lycheeshunt/health/decision.h"

#include <functional>
#include <memory>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using namespace lycheeshunt::health;
using membership::member_health;

namespace {

// One second: what was polled, and what the agent saw.
struct second
{
    health_report report;
    observed_outcomes work;
};

const health_report saysGood {reported_health::good, 0};
const health_report saysBad {reported_health::bad, 0};
const health_report noAnswer {reported_health::unreachable, 0};
const observed_outcomes nothing {0, 0};
const observed_outcomes allAnswered {4, 0};
const observed_outcomes allFailed {0, 4};
const observed_outcomes someFailed {2, 1};

struct health_case
{
    const char *what;
    std::function<second(int)> at;
    int seconds;
    member_health verdict;
    int changes;
};

} // namespace

TEST_GROUP(health) {};

TEST(health, whatIsSeenGoesBeforeWhatIsSaid)
{
    const member_health good = member_health::good;
    const member_health bad = member_health::bad;
    const health_case cases[] = {
        {"all well",
         [](int) {
             return second {saysGood, allAnswered};
         },
         30, good, 0},
        {"says good while all fail",
         [](int) {
             return second {saysGood, allFailed};
         },
         30, bad, 1},
        {"says bad while all succeed",
         [](int) {
             return second {saysBad, allAnswered};
         },
         30, good, 0},
        {"unreachable endpoint, all succeed",
         [](int) {
             return second {noAnswer, allAnswered};
         },
         30, good, 0},
        {"idle and says bad",
         [](int) {
             return second {saysBad, nothing};
         },
         30, bad, 1},
        {"idle and unreachable",
         [](int) {
             return second {noAnswer, nothing};
         },
         30, bad, 1},
        {"idle and alternating",
         [](int i) {
             return second {i % 2 == 0 ? saysGood : saysBad, nothing};
         },
         60, good, 0},
        {"some fail: neither proven, says good",
         [](int) {
             return second {saysGood, someFailed};
         },
         30, good, 0},
        {"fails, then mends, while the endpoint lags 10 s",
         [](int i) {
             return second {i >= 20 && i < 30 ? saysBad : saysGood,
                            i >= 10 && i < 20 ? allFailed : allAnswered};
         },
         60, good, 2},
        {"frozen at bad after a mended fault",
         [](int i) {
             return second {saysBad, i < 10 ? allFailed : allAnswered};
         },
         40, good, 2},
        {"alternating work: a second well, a second ill",
         [](int i) {
             return second {saysGood, i % 2 == 0 ? allAnswered : allFailed};
         },
         40, bad, 1},
    };
    for (const health_case &row : cases) {
        std::unique_ptr<const health_state> state = std::make_unique<const health_state>();
        int changes = 0;
        for (int i = 0; i < row.seconds; ++i) {
            const base::clock_time now = base::clock_time::ofSeconds(100 + i);
            const second what = row.at(i);
            const health_state reported = judge(*state, what.report, now);
            const health_state next = judge(reported, what.work, now);
            changes += next.verdict != state->verdict ? 1 : 0;
            state = std::make_unique<const health_state>(next);
        }
        CHECK_TEXT(state->verdict == row.verdict, row.what);
        LONGS_EQUAL_TEXT(row.changes, changes, row.what);
    }
}
