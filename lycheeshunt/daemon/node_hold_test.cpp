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

TEST(node_hold, whereAllHaveJustStartedNodesWaitForTheElection)
{
    CHECK(daemon::internal::holdsNode(leaderless, early));
}

// A VM that is cut off from the others hears of no leader for as long as the cut lasts.
TEST(node_hold, aVmThatMayBeCutOffKeepsNobody)
{
    CHECK_FALSE(daemon::internal::holdsNode(leaderless, late));
}

TEST(node_hold, aNodeIsSentToALeaderThatIsKnown)
{
    CHECK_FALSE(daemon::internal::holdsNode(led, early));
    CHECK_FALSE(daemon::internal::holdsNode(led, late));
}
