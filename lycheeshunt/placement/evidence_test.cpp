#include "lycheeshunt/placement/evidence.h"

#include <array>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt::placement;
using lycheeshunt::admission::slot_counts;
using lycheeshunt::admission::work_outcome;
using lycheeshunt::base::clock_time;

namespace {

const slot_counts own {7, 2};

clock_time at(std::int64_t millis)
{
    return clock_time::ofMillis(millis);
}

server_evidence withWork(server_evidence evidence, work_outcome outcome, int count)
{
    for (int i = 1; i <= count; ++i)
        evidence = afterWork(evidence, outcome, at(i * 10));
    return evidence;
}

// Forty reports at intervals of 100 ms, with the first and the second load in turn.
server_evidence withReports(double first, double second, double ownLoad, bool healthy = true)
{
    server_evidence evidence;
    for (int i = 1; i <= 40; ++i)
        evidence
            = afterReport(evidence, i % 2 == 0 ? first : second, healthy, ownLoad, at(i * 100));
    return evidence;
}

struct report_case
{
    const char *name;
    double first;
    double second;
    double ownLoad;
    std::int64_t queriedAt;
    std::uint32_t expected;
};

constexpr std::array reportCases {
    report_case {"frozen at idle", 0.0, 0.0, 2.0 / 7, 4000, 0},
    report_case {"frozen at busy", 1.0, 1.0, 2.0 / 7, 4000, 0},
    report_case {"alternating", 1.0, 0.0, 2.0 / 7, 4000, 0},
    report_case {"agrees", 3.0 / 7, 3.0 / 7, 2.0 / 7, 4000, 1},
    report_case {"agreed but is stale", 3.0 / 7, 3.0 / 7, 2.0 / 7, 9100, 0},
};

} // namespace

TEST_GROUP(evidence) {};

TEST(evidence, loadReportCountsOnlyWhereItIsFreshAndHasAgreed)
{
    for (const report_case &each : reportCases) {
        const server_evidence evidence = withReports(each.first, each.second, each.ownLoad);
        UNSIGNED_LONGS_EQUAL_TEXT(each.expected, hintedBusy(evidence, own, at(each.queriedAt)),
                                  each.name);
    }
}

TEST(evidence, failedWorkOutweighsGoodHealth)
{
    const server_evidence evidence = withWork(withReports(0, 0, 0), work_outcome::failed, 10);
    CHECK(isFailing(evidence, at(110)));
}

TEST(evidence, successfulWorkOutweighsBadHealth)
{
    const server_evidence evidence
        = withWork(withReports(0, 0, 0, false), work_outcome::answered, 10);
    CHECK(!isFailing(evidence, at(110)));
}

TEST(evidence, badHealthCountsWithoutRecentWorkWhileFresh)
{
    const server_evidence evidence = withReports(0, 0, 0, false);
    CHECK(isFailing(evidence, at(4000)));
    CHECK(!isFailing(evidence, at(9100)));
}

TEST(evidence, failuresExpireWithoutNewWork)
{
    const server_evidence evidence = withWork(server_evidence {}, work_outcome::failed, 10);
    CHECK(isFailing(evidence, at(110)));
    CHECK(!isFailing(evidence, at(60'000)));
}

TEST(evidence, sheddingIsNotAFailure)
{
    CHECK(!isFailing(withWork(server_evidence {}, work_outcome::shed, 50), at(510)));
}
