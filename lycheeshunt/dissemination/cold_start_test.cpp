// All processes ended, and all nodes ask the new leader for their first view at once. The leader
// has a small share of a core: cutting and encoding each piece for each node took it a second,
// during which no caller was served.

#include "lycheeshunt/dissemination/fake_cluster_test.h"
#include "lycheeshunt/dissemination/routes_test.h"

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using namespace lycheeshunt::dissemination;
using namespace lycheeshunt::dissemination::testing;

namespace {

constexpr std::size_t entries = 12;
constexpr std::size_t agents = 44;
constexpr std::uint32_t routes = 1500;
// Two pieces for an entry.
constexpr std::uint32_t fewRoutes = 300;

std::vector<membership::member> allNodes()
{
    std::vector<membership::member> members;
    for (std::size_t i = 0; i < entries; ++i)
        members.push_back(memberOf("entry-" + std::to_string(i), ""));
    for (std::size_t i = 0; i < agents; ++i) {
        members.push_back(memberOf("logbook-" + std::to_string(i), "logbook"));
        members.push_back(memberOf("inspect-" + std::to_string(i), "inspect"));
    }
    return members;
}

void commitRoutes(fake_cluster &cluster, std::uint64_t version, std::uint32_t count)
{
    cluster.toPublisher(
        state_applied {base::generation(++cluster.lastGeneration), stateOf(version, count)});
}

// The leader's log arrives as one merged entry, before any node asks.
void startLeader(fake_cluster &cluster, std::uint32_t count)
{
    cluster.lastGeneration = 5;
    cluster.toPublisher(entries_merged {base::generation(5), {{allNodes(), {}}}, {}});
    commitRoutes(cluster, 1, count);
}

void startNodes(fake_cluster &cluster)
{
    for (const membership::member &member : allNodes()) {
        const std::string service = member.name.substr(0, member.name.find('-'));
        cluster.startNode(member.name, service == "entry" ? "" : service);
    }
}

} // namespace

TEST_GROUP(cold_start)
{
    fake_cluster cluster {1, network_faults {}};
};

TEST(cold_start, aPieceIsCutAndEncodedOnceForAllNodesOfAScope)
{
    startLeader(cluster, routes);
    startNodes(cluster);
    CHECK(cluster.converges());
    const publisher_counts &counts = cluster.publisher.counts;
    // 1,601 objects for an entry, 45 for an agent.
    constexpr std::uint64_t entryPieces = 7;
    LONGS_EQUAL(entries * entryPieces + 2 * agents, counts.snapshotPieces);
    LONGS_EQUAL(entryPieces + 2, counts.snapshotPieces - counts.sharedPieces);
    LONGS_EQUAL(entryPieces + 2, cluster.encoder.encoded());
}

// Otherwise nodes would assemble pieces of two generations, or get an old view.
TEST(cold_start, piecesOfAnEarlierBaseAreNotSentAfterItWasRenewed)
{
    startLeader(cluster, fewRoutes);
    cluster.startNode("entry-0", "");
    cluster.runFor(networkStep);
    CHECK_FALSE(cluster.hasConverged());
    // More changes than the history keeps: deltas no longer reach back to the base.
    for (std::uint64_t number = 1; number <= maxHistoryEntries + 1; ++number)
        cluster.commitTicket(number);
    cluster.startNode("entry-1", "");
    CHECK(cluster.converges());
    LONGS_EQUAL(0, cluster.nodes.at("entry-0").mismatches);
    for (auto it = cluster.publisher.cuts.begin(); it != cluster.publisher.cuts.end(); ++it)
        CHECK(!it->second || it->second->at == cluster.publisher.snapshotBase->view->at);
}

// The newest generation is what a node must reach before it takes work.
TEST(cold_start, aSharedPieceNamesTheNewestGenerationOfItsSending)
{
    startLeader(cluster, fewRoutes);
    cluster.startNode("entry-0", "");
    CHECK(cluster.converges());
    cluster.commitTicket(1);
    cluster.startNode("entry-1", "");
    CHECK(cluster.converges());
    CHECK(cluster.publisher.counts.sharedPieces > 0);
    LONGS_EQUAL(cluster.lastGeneration, cluster.nodes.at("entry-1").state.required.value());
    LONGS_EQUAL(cluster.lastGeneration, cluster.nodes.at("entry-1").adopted.front()->at.value());
}

// A copy of the view for each scope would stay for as long as control runs.
TEST(cold_start, piecesAreDroppedWhenNobodyAsksAnyMore)
{
    startLeader(cluster, fewRoutes);
    cluster.startNode("entry-0", "");
    CHECK(cluster.converges());
    cluster.runFor(cutRetention + publisherTicks);
    CHECK(cluster.publisher.cuts.empty());
    cluster.encoder.prune();
    cluster.connect("entry-0");
    CHECK(cluster.converges());
}

TEST(cold_start, theSharedEncodingIsThatOfThePiece)
{
    startLeader(cluster, fewRoutes);
    const cluster_view &view = *cluster.publisher.view;
    snapshot_part part = partAfter(view, view_scope {}, snapshot_cursor {});
    const snapshot_cut cut {view.at, view_digest(7), snapshot_cursor {}, part.next, part.part};
    const base::generation newest(1 << 20);
    const std::string whole = encodeControlMessage(
        snapshot_piece {cut.at, newest, cut.digest, cut.start, cut.next, cut.part});
    CHECK(encodePieceHead(cut, newest) + encodePieceBody(cut) == whole);
}
