#include "lycheeshunt/daemon/internal/node_hold.h"

#include "lycheeshunt/daemon/internal/leader_catch_up.h"
#include "lycheeshunt/daemon/internal/node_directory.h"

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

// A control VM has no addresses before the first notice of a leadership. Guards against one that
// closes the streams of nodes, which then try one VM after another while the leader is elected.
TEST(node_hold, nodesWaitAlsoBeforeTheDirectoryIsKnown)
{
    daemon::internal::node_directory directory;
    const streams::connection_id node(4);
    const auto frameOf = [node](const std::string &bytes) {
        return streams::stream_frame {node, streams::channel::dissemination, bytes};
    };
    CHECK(directory.holdUntilLeader(frameOf("window"), early));
    CHECK(directory.holdUntilLeader(frameOf("request"), early));
    CHECK_FALSE(directory.holdUntilLeader(frameOf("request"), late));
    // A VM that becomes the leader answers them itself.
    const daemon::internal::waiting_nodes released = directory.release();
    CHECK(released
          == (daemon::internal::waiting_nodes {{node, {frameOf("window"), frameOf("request")}}}));
    CHECK(directory.release().empty());
}

TEST(node_hold, whatIsKeptOfANodeIsLimited)
{
    daemon::internal::node_directory directory;
    const streams::connection_id node(4);
    const std::string oversized(daemon::internal::maxHeldBytes + 1, 'x');
    CHECK(directory.holdUntilLeader({node, streams::channel::membership, oversized}, early));
    for (std::size_t i = 0; i < 2 * daemon::internal::maxHeldMessages; ++i)
        CHECK(directory.holdUntilLeader({node, streams::channel::membership, "a"}, early));
    LONGS_EQUAL(daemon::internal::maxHeldMessages, directory.release().at(node).size());
}

TEST(node_hold, aNodeThatDisconnectsNoLongerWaits)
{
    daemon::internal::node_directory directory;
    const streams::connection_id node(4);
    CHECK(directory.holdUntilLeader({node, streams::channel::membership, "a"}, early));
    directory.remove(node);
    CHECK(directory.release().empty());
}

// A view from before the first commit of the term may lack entries of the earlier leader.
TEST(node_hold, aLeaderHasCaughtUpWithTheFirstCommitOfItsTerm)
{
    using daemon::internal::leader_catch_up;
    const leader_catch_up leading = leader_catch_up {}.withCommit(2).withLeadership(3);
    CHECK_FALSE(leading.isComplete());
    CHECK(leading.withCommit(3).isComplete());
    CHECK_FALSE(leading.withLeadership(0).withCommit(3).isComplete());
}

// It would otherwise wait for the next change.
TEST(node_hold, aLeaderWithoutPeersHasCommittedBeforeItIsAnnounced)
{
    CHECK(daemon::internal::leader_catch_up {}.withCommit(1).withLeadership(1).isComplete());
}
