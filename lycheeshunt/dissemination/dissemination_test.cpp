#include "lycheeshunt/dissemination/fake_cluster_test.h"

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using namespace lycheeshunt::dissemination;
using namespace lycheeshunt::dissemination::testing;

namespace {

void startCluster(fake_cluster &cluster)
{
    cluster.commitMembers({memberOf("entry-1", ""), memberOf("agent-1", "logbook"),
                           memberOf("agent-2", "logbook"), memberOf("agent-3", "inspect")});
    cluster.commitTicket(1);
    cluster.commitTicket(2);
    cluster.startNode("entry-1", "");
    cluster.startNode("agent-1", "logbook");
    cluster.startNode("agent-2", "logbook");
    cluster.startNode("agent-3", "inspect");
}

std::vector<membership::member> manyMembers(std::size_t count, const std::string &service)
{
    std::vector<membership::member> all;
    for (std::size_t i = 0; i < count; ++i)
        all.push_back(memberOf(service + "-" + std::to_string(i), service));
    return all;
}

struct fault_case
{
    const char *what;
    const network_faults faults;
    const std::function<void(fake_cluster &)> inject;
};

std::vector<fault_case> faultCases()
{
    const network_faults good {};
    const network_faults bad {20, 20, 300};
    const auto pause
        = [](fake_cluster &cluster) { cluster.runFor(base::clock_time::ofSeconds(1)); };
    return {
        {"nothing fails", good, [](fake_cluster &cluster) { cluster.commitTicket(3); }},
        {"frames are lost, duplicated and reordered", bad,
         [pause](fake_cluster &cluster) {
             for (std::uint64_t number = 3; number < 30; ++number) {
                 cluster.commitTicket(number);
                 pause(cluster);
             }
         }},
        {"one node misses several updates", good,
         [pause](fake_cluster &cluster) {
             cluster.nodes.at("agent-2").isDisconnected = true;
             for (std::uint64_t number = 3; number < 10; ++number) {
                 cluster.commitTicket(number);
                 pause(cluster);
             }
             cluster.nodes.at("agent-2").isDisconnected = false;
         }},
        {"a node is 300 generations behind", good,
         [pause](fake_cluster &cluster) {
             cluster.nodes.at("entry-1").isDisconnected = true;
             for (std::uint64_t number = 3; number < 303; ++number)
                 cluster.commitTicket(number);
             pause(cluster);
             cluster.nodes.at("entry-1").isDisconnected = false;
         }},
        {"a node is behind the entire history", good,
         [pause](fake_cluster &cluster) {
             cluster.nodes.at("entry-1").isDisconnected = true;
             for (std::uint64_t number = 3; number < 2000; ++number)
                 cluster.commitTicket(number);
             pause(cluster);
             cluster.nodes.at("entry-1").isDisconnected = false;
         }},
        {"control restarts without its history", good,
         [pause](fake_cluster &cluster) {
             cluster.commitTicket(3);
             cluster.restartControl();
             pause(cluster);
             cluster.commitTicket(4);
             cluster.restartControl();
         }},
        {"snapshot pieces are lost, duplicated and reordered", bad,
         [pause](fake_cluster &cluster) {
             cluster.commitMembers(manyMembers(1500, "logbook"));
             cluster.startNode("entry-2", "");
             pause(cluster);
             cluster.commitTicket(3);
             cluster.restartControl();
         }},
        {"a node restarts during its snapshot", bad,
         [pause](fake_cluster &cluster) {
             cluster.commitMembers(manyMembers(1500, "logbook"));
             cluster.startNode("entry-1", "", 2);
             pause(cluster);
             cluster.startNode("entry-1", "", 3);
         }},
        {"streams are closed repeatedly", bad,
         [pause](fake_cluster &cluster) {
             for (std::uint64_t number = 3; number < 12; ++number) {
                 cluster.commitTicket(number);
                 pause(cluster);
                 cluster.connect("agent-1");
                 cluster.connect("entry-1");
             }
         }},
        {"a node has a view with other content", good,
         [](fake_cluster &cluster) {
             follower_state &state = cluster.nodes.at("agent-3").state;
             state.view = std::make_shared<const cluster_view>(
                 cluster_view {state.view->at, {}, state.view->members, {}});
             state.digest = digestOf(*state.view);
             cluster.commitTicket(3);
         }},
        {"a member moves to another service", good,
         [](fake_cluster &cluster) { cluster.commitMembers({memberOf("agent-2", "inspect")}); }},
    };
}

void checkMonotonic(const fake_node &node, const char *what)
{
    for (std::size_t i = 1; i < node.adopted.size(); ++i)
        CHECK_TEXT(node.adopted[i - 1]->at <= node.adopted[i]->at, what);
}

} // namespace

TEST_GROUP(dissemination) {};

TEST(dissemination, everyNodeReachesControlsViewAfterEachFault)
{
    for (const fault_case &row : faultCases()) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            for (int times = 1; times <= 2; ++times) {
                fake_cluster cluster(seed, row.faults);
                startCluster(cluster);
                CHECK_TEXT(cluster.converges(), row.what);
                for (int i = 0; i < times; ++i)
                    row.inject(cluster);
                CHECK_TEXT(cluster.converges(), row.what);
                for (auto it = cluster.nodes.begin(); it != cluster.nodes.end(); ++it)
                    checkMonotonic(it->second, row.what);
            }
        }
    }
}

TEST(dissemination, nodesThatStartBeforeTheFirstChangeReceiveIt)
{
    fake_cluster cluster(1, {});
    cluster.startNode("entry-1", "");
    cluster.runFor(base::clock_time::ofSeconds(3));
    cluster.commitMembers({memberOf("entry-1", "")});
    CHECK(cluster.converges());
    LONGS_EQUAL(1, cluster.nodes.at("entry-1").adopted.size());
}

TEST(dissemination, aNodeAheadOfControlKeepsItsView)
{
    fake_cluster cluster(1, {});
    startCluster(cluster);
    CHECK(cluster.converges());
    const base::generation before = cluster.nodes.at("entry-1").state.viewGeneration();
    cluster.publisher = publisher_state {};
    cluster.connect("entry-1");
    cluster.runFor(base::clock_time::ofSeconds(5));
    CHECK(cluster.nodes.at("entry-1").state.viewGeneration() == before);
    cluster.toPublisher(in_force_query {base::request_id(1), base::generation(1)});
    CHECK(!cluster.answers.back()->isInForce());
}

TEST(dissemination, aNewNodeAdoptsNoViewOlderThanControlsNewest)
{
    fake_cluster cluster(1, {});
    startCluster(cluster);
    CHECK(cluster.converges());
    cluster.commitTicket(3);
    cluster.startNode("entry-2", "");
    CHECK(cluster.converges());
    LONGS_EQUAL(cluster.lastGeneration, cluster.nodes.at("entry-2").adopted.front()->at.value());
}

TEST(dissemination, onlyALostPieceIsRequestedAgain)
{
    fake_cluster cluster(1, network_faults {30, 0, 20});
    startCluster(cluster);
    cluster.commitMembers(manyMembers(20 * snapshotPieceObjects, "logbook"));
    cluster.startNode("entry-2", "");
    CHECK(cluster.converges());
    const int piecesWithoutLoss = 21;
    CHECK(cluster.nodes.at("entry-2").pieces >= piecesWithoutLoss);
    CHECK(cluster.nodes.at("entry-2").pieces < 2 * piecesWithoutLoss);
}

TEST(dissemination, aDifferingViewIsDetectedByItsDigestAndReplaced)
{
    fake_cluster cluster(1, {});
    startCluster(cluster);
    CHECK(cluster.converges());
    fake_node &node = cluster.nodes.at("agent-3");
    node.state.view = std::make_shared<const cluster_view>(cluster_view {node.state.view->at});
    node.state.digest = view_digest();
    cluster.connect("agent-3");
    CHECK(cluster.converges());
    LONGS_EQUAL(1, cluster.nodes.at("agent-3").mismatches);
}

TEST(dissemination, anAgentReceivesNothingOfOtherServices)
{
    fake_cluster cluster(1, {});
    startCluster(cluster);
    CHECK(cluster.converges());
    const cluster_view &view = *cluster.nodes.at("agent-3").state.view;
    LONGS_EQUAL(1, view.services.size());
    LONGS_EQUAL(1, view.members.size());
    CHECK(view.at == cluster.publisher.view->at);
}

TEST(dissemination, aQueryWaitsUntilEveryMemberHasTheGeneration)
{
    fake_cluster cluster(1, {});
    startCluster(cluster);
    CHECK(cluster.converges());
    cluster.runFor(base::clock_time::ofSeconds(1));
    cluster.commitTicket(3);
    cluster.toPublisher(in_force_query {base::request_id(7),
                                        base::generation(cluster.lastGeneration),
                                        base::clock_time::ofSeconds(4)});
    CHECK(cluster.answers.empty());
    cluster.runFor(base::clock_time::ofSeconds(1));
    LONGS_EQUAL(1, cluster.answers.size());
    CHECK(cluster.answers.front()->isInForce());
}

TEST(dissemination, atItsDeadlineAQueryNamesMembersBehindAndUnreachable)
{
    fake_cluster cluster(1, {});
    startCluster(cluster);
    cluster.commitMembers({memberOf("entry-9", "")});
    CHECK(cluster.converges());
    cluster.runFor(base::clock_time::ofSeconds(1));
    // The current incarnation of agent-1 has no stream.
    cluster.commitMembers({memberOf("agent-1", "logbook", 2)});
    cluster.nodes.at("agent-2").isDisconnected = true;
    cluster.commitTicket(3);
    cluster.toPublisher(in_force_query {base::request_id(7),
                                        base::generation(cluster.lastGeneration),
                                        base::clock_time::ofSeconds(4)});
    cluster.runFor(base::clock_time::ofMillis(3900));
    CHECK(cluster.answers.empty());
    cluster.runFor(base::clock_time::ofMillis(200));
    LONGS_EQUAL(1, cluster.answers.size());
    const in_force_answer &answer = *cluster.answers.front();
    CHECK(!answer.isInForce());
    CHECK(answer.behind == std::vector<std::string> {"agent-2"});
    LONGS_EQUAL(2, answer.unreachableCount);
}

TEST(dissemination, theListsOfAnAnswerAreBoundedAndTheCountsAreNot)
{
    fake_cluster cluster(1, {});
    cluster.commitMembers(manyMembers(250, "logbook"));
    cluster.toPublisher(in_force_query {base::request_id(7), base::generation(1)});
    LONGS_EQUAL(250, cluster.answers.front()->unreachableCount);
    LONGS_EQUAL(maxInForceAnswerNames, cluster.answers.front()->unreachable.size());
}

TEST(dissemination, anAcknowledgementFromAnotherHistoryIsIgnored)
{
    fake_cluster cluster(1, {});
    startCluster(cluster);
    const view_request request {base::nodeIdOf("entry-1"), base::incarnation(1), view_scope {},
                                base::generation(3), base::generation(3)};
    const streams::connection_id other(99);
    cluster.toPublisher(node_message_received {other, request});
    cluster.toPublisher(
        node_message_received {other, acknowledgement {base::generation(3), view_digest(1)}});
    cluster.toPublisher(
        node_message_received {other, acknowledgement {base::generation(9), view_digest(1)}});
    CHECK(cluster.publisher.subscribers.at(other).acknowledged == base::generation());
}

TEST(dissemination, malformedMessagesAreRefusedByCode)
{
    const view_request request {base::nodeIdOf("entry-1"), base::incarnation(1)};
    const std::string encoded = encodeNodeMessage(request);
    CHECK(base::valueOf(decodeNodeMessage(encoded)) == node_message(request));
    for (std::size_t length = 0; length < encoded.size(); ++length)
        CHECK(!base::isOk(decodeNodeMessage(encoded.substr(0, length))));
    CHECK(base::errorOf(decodeNodeMessage("\x63"))->code == base::error_code::messageVersion);
    CHECK(base::errorOf(decodeControlMessage(encoded))->code == base::error_code::messageVersion);
}

// After merged entries, the generations in between are unknown, so that a node at one of them needs
// a complete snapshot.
TEST(dissemination, aNodeBehindMergedEntriesGetsASnapshot)
{
    fake_cluster cluster(1, network_faults {});
    const std::vector<membership::member> first {memberOf("entry-1", "")};
    const std::vector<membership::member> second {memberOf("agent-1", "logbook")};
    cluster.commitMembers(first);
    cluster.startNode("entry-1", "");
    CHECK(cluster.converges());
    cluster.nodes.at("entry-1").isDisconnected = true;
    cluster.commitMembers(second);
    cluster.commitMembers({memberOf("agent-2", "logbook")});
    cluster.restartControlMerged(
        {{memberOf("entry-1", ""), memberOf("agent-1", "logbook"), memberOf("agent-2", "logbook")},
         {}});
    cluster.nodes.at("entry-1").isDisconnected = false;
    CHECK(cluster.converges());
    LONGS_EQUAL(3, cluster.nodes.at("entry-1").state.view->members.size());
    LONGS_EQUAL(0, cluster.nodes.at("entry-1").mismatches);
}

TEST(dissemination, aNodeAtTheEndOfMergedEntriesReceivesNothingAgain)
{
    fake_cluster cluster(1, network_faults {});
    const std::vector<membership::member> all {memberOf("entry-1", ""),
                                               memberOf("agent-1", "logbook")};
    cluster.commitMembers(all);
    cluster.startNode("entry-1", "");
    CHECK(cluster.converges());
    const int pieces = cluster.nodes.at("entry-1").pieces;
    cluster.restartControlMerged({all, {}});
    CHECK(cluster.converges());
    LONGS_EQUAL(pieces, cluster.nodes.at("entry-1").pieces);
    LONGS_EQUAL(0, cluster.nodes.at("entry-1").mismatches);
}
