#include "lycheeshunt/daemon/internal/node_hold.h"

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;

TEST_GROUP(node_hold)
{
    const dissemination::control_directory leaderless {{}, {base::endpoint {1, 7720}}};
    const dissemination::control_directory led {base::endpoint {1, 7720}, {}};
    const base::clock_time early = base::clock_time::ofMillis(100);
    const base::clock_time late = base::clock_time::ofSeconds(20);
};

TEST(node_hold, nodesWaitForTheElectionAfterAStart)
{
    CHECK(daemon::internal::shouldHoldNode(leaderless, early));
}

// A VM that is partitioned from the others finds no leader for as long as the partition lasts.
TEST(node_hold, aVmThatMayBePartitionedHoldsNoNode)
{
    CHECK_FALSE(daemon::internal::shouldHoldNode(leaderless, late));
}

TEST(node_hold, aNodeIsRedirectedToAKnownLeader)
{
    CHECK_FALSE(daemon::internal::shouldHoldNode(led, early));
    CHECK_FALSE(daemon::internal::shouldHoldNode(led, late));
}
