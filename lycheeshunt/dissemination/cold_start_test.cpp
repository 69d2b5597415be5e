// All processes ended, and all nodes request their first view from the new leader at once. The
// leader has a small share of a core: cutting and encoding each piece for each node took it a
// second, during which no caller was served.

#include "lycheeshunt/base/compression.h"
#include "lycheeshunt/dissemination/fake_cluster_test.h"
#include "lycheeshunt/dissemination/internal/snapshot_cuts.h"
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

// The leader's log arrives as one merged entry, before the first request of a node.
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
    // Like the streams, which keep the order.
    fake_cluster cluster {1, network_faults {0, 0, 20, 20}};
};

TEST(cold_start, aPieceIsCutAndEncodedOnceForAllNodesOfAScope)
{
    startLeader(cluster, routes);
    startNodes(cluster);
    CHECK(cluster.converges());
    cluster.runFor(base::clock_time::ofMillis(500));
    const publisher_counts &counts = cluster.publisher.counts;
    // 1,601 objects for an entry, 45 for an agent.
    constexpr std::uint64_t entryPieces = 7;
    LONGS_EQUAL(entries * entryPieces + 2 * agents, counts.snapshotPieces);
    LONGS_EQUAL(entryPieces + 2, counts.snapshotPieces - counts.sharedPieces);
    LONGS_EQUAL(entryPieces + 2, cluster.encoder.encoded());
    // An entry sends its window, two requests, the request for deltas and an acknowledgement; an
    // agent two requests and an acknowledgement. One request for each piece took 9 of an entry.
    LONGS_EQUAL(5 * entries + 3 * 2 * agents, cluster.messagesToControl);
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
    cluster.runFor(internal::cutRetention + publisherTicks);
    CHECK(cluster.publisher.cuts.empty());
    cluster.encoder.prune();
    cluster.connect("entry-0");
    CHECK(cluster.converges());
}

// Nodes and control VMs of earlier builds must receive the messages that they can decode.
TEST(cold_start, theSharedEncodingIsThatOfThePiece)
{
    startLeader(cluster, fewRoutes);
    const cluster_view &view = *cluster.publisher.view;
    snapshot_part part = partAfter(view, view_scope {}, snapshot_cursor {});
    const shared_cut cut = std::make_shared<const snapshot_cut>(
        snapshot_cut {view.at, view_digest(7), snapshot_cursor {}, part.next, part.part});
    const base::generation newest(1 << 20);
    const control_message whole
        = snapshot_piece {cut->at, newest, cut->digest, cut->start, cut->next, cut->part};
    const std::string plain = cluster.encoder.encode(send_piece {{}, cut, newest});
    CHECK(plain == encodeControlMessage(whole));
    const std::string compressed = cluster.encoder.encode(send_piece {{}, cut, newest, 0, true});
    // Routes of a link of 3.2 Mbit/s took 170 ms before.
    CHECK(compressed.size() < plain.size() / 3);
    CHECK(base::valueOf(decodeControlMessage(compressed))
          == base::valueOf(decodeControlMessage(plain)));
    // A piece with a wrong length or with damaged bytes is refused.
    const base::compressed_bytes body = base::compress("no piece");
    for (const std::uint32_t length : {0U, 7U, 8U, 9U, 0xffffffffU})
        CHECK_FALSE(base::isOk(
            decodeControlMessage(encodeCompressedPiece(newest, newest, 1, {length, body.bytes}))));
}

// Either side of an earlier build: the node requests each piece, and control announces none.
TEST(cold_start, withoutAWindowEachPieceIsRequested)
{
    startLeader(cluster, routes);
    cluster.startNode("entry-0", "");
    cluster.nodes.at("entry-0").hasNoWindow = true;
    cluster.startNode("entry-1", "");
    cluster.connect("entry-0");
    CHECK(cluster.converges());
    LONGS_EQUAL(0, cluster.nodes.at("entry-0").followedPieces);
    LONGS_EQUAL(7, cluster.nodes.at("entry-0").pieces);
    LONGS_EQUAL(5, cluster.nodes.at("entry-1").followedPieces);
    LONGS_EQUAL(7, cluster.nodes.at("entry-1").pieces);
}

// A window from a faulty node must neither end the stream of pieces nor flood its link.
TEST(cold_start, aWindowIsLimited)
{
    startLeader(cluster, routes);
    for (const std::uint32_t window : {0U, 1U, 3U, 0xffffffffU}) {
        const streams::connection_id connection(1000 + window);
        cluster.toPublisher(node_message_received {connection, view_window {window}});
        const std::uint64_t before = cluster.publisher.counts.snapshotPieces;
        cluster.toPublisher(node_message_received {
            connection, view_request {base::nodeIdOf("entry-0"), base::incarnation(1)}});
        LONGS_EQUAL(std::clamp(window, 1U, maxPieceWindow),
                    cluster.publisher.counts.snapshotPieces - before);
        cluster.toPublisher(subscriber_closed {connection});
    }
    CHECK(cluster.publisher.windows.empty());
}

// The next leader cuts its own pieces; nodes neither mix them with the earlier ones nor wait for
// those that were announced.
TEST(cold_start, theLeaderFailsWhileItSends)
{
    startLeader(cluster, routes);
    cluster.startNode("entry-0", "");
    cluster.startNode("entry-1", "");
    const auto isReceiving = [this]() { return cluster.nodes.at("entry-0").pieces > 0; };
    while (!isReceiving())
        cluster.runFor(networkStep);
    CHECK_FALSE(cluster.hasConverged());
    const base::clock_time failedAt = cluster.now;
    cluster.publisher = publisher_state {};
    startLeader(cluster, routes);
    cluster.connect("entry-0");
    cluster.connect("entry-1");
    CHECK(cluster.converges());
    CHECK(cluster.now - failedAt < base::clock_time::ofMillis(500));
    LONGS_EQUAL(0, cluster.nodes.at("entry-0").mismatches);
}

// Guards against a node that kept its view while all control VMs restarted, and then requested each
// piece of the new one.
TEST(cold_start, aNodeWithAnOldViewAlsoReceivesSeveralPiecesForARequest)
{
    startLeader(cluster, fewRoutes);
    cluster.startNode("entry-0", "");
    CHECK(cluster.converges());
    cluster.publisher = publisher_state {};
    cluster.lastGeneration = 20;
    cluster.toPublisher(entries_merged {base::generation(20), {{allNodes(), {}}}, {}});
    commitRoutes(cluster, 2, routes);
    const std::uint64_t before = cluster.messagesToControl;
    cluster.connect("entry-0");
    CHECK(cluster.converges());
    cluster.runFor(base::clock_time::ofMillis(500));
    // The request at the start, the window, two requests for pieces, the request for deltas and an
    // acknowledgement. One request for each piece took 9.
    LONGS_EQUAL(6, cluster.messagesToControl - before);
    LONGS_EQUAL(0, cluster.nodes.at("entry-0").mismatches);
}

// A node whose announced pieces do not arrive requests them again, and the others do not wait for
// it.
TEST(cold_start, aNodeThatReceivesNothingDoesNotDelayTheOthers)
{
    startLeader(cluster, routes);
    cluster.startNode("entry-0", "");
    cluster.startNode("entry-1", "");
    while (cluster.nodes.at("entry-0").pieces == 0)
        cluster.runFor(networkStep);
    cluster.nodes.at("entry-0").isDisconnected = true;
    cluster.runFor(base::clock_time::ofMillis(500));
    CHECK(cluster.nodes.at("entry-1").state.isReady);
    CHECK_FALSE(cluster.nodes.at("entry-0").state.isReady);
    cluster.nodes.at("entry-0").isDisconnected = false;
    CHECK(cluster.converges());
}

// A new leader's view lacks entries that the earlier leader committed, until its own term commits.
// A node that started from such a view would send callers to servers that were replaced.
TEST(cold_start, nodesAreAnsweredOnceTheEntriesOfEarlierTermsAreApplied)
{
    startLeader(cluster, fewRoutes);
    cluster.toPublisher(leadership_began {3});
    cluster.startNode("entry-0", "");
    cluster.startNode("agent-1", "logbook");
    cluster.runFor(base::clock_time::ofMillis(300));
    CHECK(cluster.nodes.at("entry-0").adopted.empty());
    // That of a leadership that has ended does not count.
    cluster.toPublisher(log_caught_up {2});
    cluster.runFor(base::clock_time::ofMillis(100));
    CHECK(cluster.nodes.at("entry-0").adopted.empty());
    cluster.commitTicket(1);
    const base::clock_time caughtUpAt = cluster.now;
    cluster.toPublisher(log_caught_up {3});
    CHECK(cluster.converges());
    // Well under the 1 s after which a node repeats its request.
    CHECK(cluster.now - caughtUpAt <= base::clock_time::ofMillis(200));
    for (auto it = cluster.nodes.begin(); it != cluster.nodes.end(); ++it)
        LONGS_EQUAL(cluster.lastGeneration, it->second.adopted.front()->at.value());
}

// Guards against a node that requests its view before the first commit and is answered only after
// its next request, up to 1 s later.
TEST(cold_start, aNodeThatAsksBeforeTheFirstCommitIsAnsweredAfterIt)
{
    cluster.startNode("entry-0", "");
    cluster.runFor(base::clock_time::ofMillis(100));
    startLeader(cluster, fewRoutes);
    const base::clock_time committedAt = cluster.now;
    CHECK(cluster.converges());
    CHECK(cluster.now - committedAt <= base::clock_time::ofMillis(300));
    CHECK(cluster.publisher.unanswered.empty());
}

TEST(cold_start, aClosedStreamLeavesNothingBehind)
{
    const streams::connection_id connection(7);
    cluster.toPublisher(node_message_received {connection, view_window {4}});
    cluster.toPublisher(node_message_received {
        connection, view_request {base::nodeIdOf("entry-0"), base::incarnation(1)}});
    LONGS_EQUAL(1, cluster.publisher.unanswered.size());
    cluster.toPublisher(subscriber_closed {connection});
    CHECK(cluster.publisher.unanswered.empty());
    CHECK(cluster.publisher.windows.empty());
}

TEST(cold_start, messagesOfTheWindowAreEncodedAndDecoded)
{
    const node_message window = view_window {4};
    CHECK(base::valueOf(decodeNodeMessage(encodeNodeMessage(window))) == window);
    const control_message piece = snapshot_piece {base::generation(3),
                                                  base::generation(4),
                                                  view_digest(5),
                                                  snapshot_cursor {},
                                                  snapshot_cursor {snapshot_section::members, 9},
                                                  view_change {},
                                                  2};
    CHECK(base::valueOf(decodeControlMessage(encodeControlMessage(piece))) == piece);
}
