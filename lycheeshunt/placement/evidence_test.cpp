#include "lycheeshunt/placement/evidence.h"

#include <array>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt::placement;
using lycheeshunt::admission::slot_counts;
using lycheeshunt::admission::work_end;
using lycheeshunt::base::clock_time;

namespace {

const slot_counts own {7, 2};

clock_time at(std::int64_t millis)
{
    return clock_time::ofMillis(millis);
}

server_evidence withWork(server_evidence known, work_end how, int count)
{
    for (int i = 1; i <= count; ++i)
        known = afterWork(known, how, at(i * 10));
    return known;
}

// Forty reports, one each 100 ms; odd ones carry the second load.
server_evidence withReports(double first, double second, double ownLoad, bool healthy = true)
{
    server_evidence known;
    for (int i = 1; i <= 40; ++i)
        known = afterReport(known, i % 2 == 0 ? first : second, healthy, ownLoad, at(i * 100));
    return known;
}

struct report_case
{
    const char *what;
    double first;
    double second;
    double ownLoad;
    std::int64_t askedAt;
    std::uint32_t hinted;
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
        const server_evidence known = withReports(each.first, each.second, each.ownLoad);
        UNSIGNED_LONGS_EQUAL_TEXT(each.hinted, hintedBusy(known, own, at(each.askedAt)), each.what);
    }
}

TEST(evidence, healthSaysGoodWhileEveryRequestFails)
{
    const server_evidence known = withWork(withReports(0, 0, 0), work_end::failed, 10);
    CHECK(isFailing(known, at(110)));
}

TEST(evidence, healthSaysBadWhileAllSucceed)
{
    const server_evidence known = withWork(withReports(0, 0, 0, false), work_end::answered, 10);
    CHECK(!isFailing(known, at(110)));
}

TEST(evidence, badHealthWithoutRecentWorkIsBelievedWhileFresh)
{
    const server_evidence known = withReports(0, 0, 0, false);
    CHECK(isFailing(known, at(4000)));
    CHECK(!isFailing(known, at(9100)));
}

TEST(evidence, failureIsForgottenWhenNoWorkComes)
{
    const server_evidence known = withWork(server_evidence {}, work_end::failed, 10);
    CHECK(isFailing(known, at(110)));
    CHECK(!isFailing(known, at(60'000)));
}

TEST(evidence, sheddingIsNoFailure)
{
    CHECK(!isFailing(withWork(server_evidence {}, work_end::shed, 50), at(510)));
}
