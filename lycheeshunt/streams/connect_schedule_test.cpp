// When a client tries the next server while others do not reply or refuse.

#include "lycheeshunt/streams/internal/connect_schedule.h"

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using streams::internal::connect_schedule;

namespace {

base::clock_time at(std::int64_t millis)
{
    return base::clock_time::ofMillis(millis);
}

} // namespace

TEST_GROUP(connect_schedule)
{
    const streams::stream_timing timing = {};
    const std::int64_t attempt = timing.attemptDelay.millis();
    const std::int64_t refused = timing.refusedDelay.millis();
    const std::int64_t round = 150;
    connect_schedule schedule {2, timing, at(round)};
};

TEST(connect_schedule, theNextServerIsTriedBesideOneThatDoesNotReply)
{
    CHECK(schedule.mayStart(at(0)));
    schedule.addStart(at(0));
    CHECK_FALSE(schedule.mayStart(at(attempt - 1)));
    CHECK(schedule.mayStart(at(attempt)));
}

TEST(connect_schedule, serversThatDoNotReplyAreTriedAgainWithoutAPause)
{
    for (std::size_t i = 0; i < timing.maxAttempts; ++i) {
        const std::int64_t start = static_cast<std::int64_t>(i) * attempt;
        CHECK(schedule.mayStart(at(start)));
        schedule.addStart(at(start));
    }
    // No more than maxAttempts run at the same time.
    CHECK_FALSE(schedule.nextStart(at(1000 * attempt)).has_value());
    schedule.addTimeout();
    CHECK(schedule.mayStart(at(static_cast<std::int64_t>(timing.maxAttempts) * attempt)));
}

// While all control VMs start, each refuses many nodes: without a pause after a round, every node
// would try them 50 times a second.
TEST(connect_schedule, aRoundOfRefusalsIsFollowedByAPause)
{
    schedule.addStart(at(0));
    schedule.addRefusal(at(1));
    CHECK_FALSE(schedule.mayStart(at(refused)));
    CHECK(schedule.mayStart(at(1 + refused)));
    schedule.addStart(at(1 + refused));
    schedule.addRefusal(at(2 + refused));
    CHECK_FALSE(schedule.mayStart(at(1 + refused + round)));
    CHECK(schedule.mayStart(at(2 + refused + round)));
}
