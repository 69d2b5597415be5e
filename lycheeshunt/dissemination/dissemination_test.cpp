#include "lycheeshunt/dissemination/fake_cluster_test.h"

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using namespace lycheeshunt::dissemination;
using namespace lycheeshunt::dissemination::testing;

namespace {

void fill(fake_cluster &cluster)
{
    cluster.admit({memberOf("entry-1", ""), memberOf("agent-1", "logbook"),
                   memberOf("agent-2", "logbook"), memberOf("agent-3", "inspect")});
    cluster.change(1);
    cluster.change(2);
    cluster.join("entry-1", "");
    cluster.join("agent-1", "logbook");
    cluster.join("agent-2", "logbook");
    cluster.join("agent-3", "inspect");
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
    const std::function<void(fake_cluster &)> provoke;
};

std::vector<fault_case> faultCases()
{
    const network_faults good {};
    const network_faults bad {20, 20, 300};
    const auto pause
        = [](fake_cluster &cluster) { cluster.runFor(base::clock_time::ofSeconds(1)); };
    return {
        {"nothing fails", good, [](fake_cluster &cluster) { cluster.change(3); }},
        {"frames are lost, repeated and reordered", bad,
         [pause](fake_cluster &cluster) {
             for (std::uint64_t number = 3; number < 30; ++number) {
                 cluster.change(number);
                 pause(cluster);
             }
         }},
        {"updates reach nodes unevenly", good,
         [pause](fake_cluster &cluster) {
             cluster.nodes.at("agent-2").isCut = true;
             for (std::uint64_t number = 3; number < 10; ++number) {
                 cluster.change(number);
                 pause(cluster);
             }
             cluster.nodes.at("agent-2").isCut = false;
         }},
        {"a node is 300 generations behind", good,
         [pause](fake_cluster &cluster) {
             cluster.nodes.at("entry-1").isCut = true;
             for (std::uint64_t number = 3; number < 303; ++number)
                 cluster.change(number);
             pause(cluster);
             cluster.nodes.at("entry-1").isCut = false;
         }},
        {"a node is behind the whole history", good,
         [pause](fake_cluster &cluster) {
             cluster.nodes.at("entry-1").isCut = true;
             for (std::uint64_t number = 3; number < 2000; ++number)
                 cluster.change(number);
             pause(cluster);
             cluster.nodes.at("entry-1").isCut = false;
         }},
        {"control restarts and its history is gone", good,
         [pause](fake_cluster &cluster) {
             cluster.change(3);
             cluster.restartControl();
             pause(cluster);
             cluster.change(4);
             cluster.restartControl();
         }},
        {"snapshot pieces are lost, repeated and reordered", bad,
         [pause](fake_cluster &cluster) {
             cluster.admit(manyMembers(1500, "logbook"));
             cluster.join("entry-2", "");
             pause(cluster);
             cluster.change(3);
             cluster.restartControl();
         }},
        {"a node restarts during its snapshot", bad,
         [pause](fake_cluster &cluster) {
             cluster.admit(manyMembers(1500, "logbook"));
             cluster.join("entry-1", "", 2);
             pause(cluster);
             cluster.join("entry-1", "", 3);
         }},
        {"streams break again and again", bad,
         [pause](fake_cluster &cluster) {
             for (std::uint64_t number = 3; number < 12; ++number) {
                 cluster.change(number);
                 pause(cluster);
                 cluster.connect("agent-1");
                 cluster.connect("entry-1");
             }
         }},
        {"a node holds other content", good,
         [](fake_cluster &cluster) {
             follower_state &state = cluster.nodes.at("agent-3").state;
             state.held = std::make_shared<const cluster_view>(
                 cluster_view {state.held->at, {}, state.held->members, {}});
             state.digest = digestOf(*state.held);
             cluster.change(3);
         }},
        {"a member moves to another service", good,
         [](fake_cluster &cluster) { cluster.admit({memberOf("agent-2", "inspect")}); }},
    };
}

void checkNeverBack(const fake_node &node, const char *what)
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
                fill(cluster);
                CHECK_TEXT(cluster.settles(), row.what);
                for (int i = 0; i < times; ++i)
                    row.provoke(cluster);
                CHECK_TEXT(cluster.settles(), row.what);
                for (auto it = cluster.nodes.begin(); it != cluster.nodes.end(); ++it)
                    checkNeverBack(it->second, row.what);
            }
        }
    }
}

TEST(dissemination, nodesThatComeBeforeAnyChangeGetTheFirst)
{
    fake_cluster cluster(1, {});
    cluster.join("entry-1", "");
    cluster.runFor(base::clock_time::ofSeconds(3));
    cluster.admit({memberOf("entry-1", "")});
    CHECK(cluster.settles());
    LONGS_EQUAL(1, cluster.nodes.at("entry-1").adopted.size());
}

TEST(dissemination, aNodeAheadOfControlKeepsWhatItHolds)
{
    fake_cluster cluster(1, {});
    fill(cluster);
    CHECK(cluster.settles());
    const base::generation before = cluster.nodes.at("entry-1").state.heldAt();
    cluster.publisher = publisher_state {};
    cluster.connect("entry-1");
    cluster.runFor(base::clock_time::ofSeconds(5));
    CHECK(cluster.nodes.at("entry-1").state.heldAt() == before);
    cluster.toPublisher(in_force_query {base::request_id(1), base::generation(1)});
    CHECK(!cluster.answers.back()->isInForce());
}

TEST(dissemination, aNewNodeTakesNoViewOlderThanControlsNewest)
{
    fake_cluster cluster(1, {});
    fill(cluster);
    CHECK(cluster.settles());
    cluster.change(3);
    cluster.join("entry-2", "");
    CHECK(cluster.settles());
    LONGS_EQUAL(cluster.lastGeneration, cluster.nodes.at("entry-2").adopted.front()->at.value());
}

TEST(dissemination, aLostPieceIsAskedForAgainAndTheRestIsNot)
{
    fake_cluster cluster(1, network_faults {30, 0, 20});
    fill(cluster);
    cluster.admit(manyMembers(20 * snapshotPieceObjects, "logbook"));
    cluster.join("entry-2", "");
    CHECK(cluster.settles());
    const int piecesWithoutLoss = 21;
    CHECK(cluster.nodes.at("entry-2").pieces >= piecesWithoutLoss);
    CHECK(cluster.nodes.at("entry-2").pieces < 2 * piecesWithoutLoss);
}

TEST(dissemination, otherContentIsFoundByItsDigestAndReplaced)
{
    fake_cluster cluster(1, {});
    fill(cluster);
    CHECK(cluster.settles());
    fake_node &node = cluster.nodes.at("agent-3");
    node.state.held = std::make_shared<const cluster_view>(cluster_view {node.state.held->at});
    node.state.digest = view_digest();
    cluster.connect("agent-3");
    CHECK(cluster.settles());
    LONGS_EQUAL(1, cluster.nodes.at("agent-3").mismatches);
}

TEST(dissemination, anAgentGetsNothingOfOtherServices)
{
    fake_cluster cluster(1, {});
    fill(cluster);
    CHECK(cluster.settles());
    const cluster_view &view = *cluster.nodes.at("agent-3").state.held;
    LONGS_EQUAL(1, view.services.size());
    LONGS_EQUAL(1, view.members.size());
    CHECK(view.at == cluster.publisher.view->at);
}

TEST(dissemination, aQuestionWaitsUntilEveryMemberHasTheGeneration)
{
    fake_cluster cluster(1, {});
    fill(cluster);
    CHECK(cluster.settles());
    cluster.runFor(base::clock_time::ofSeconds(1));
    cluster.change(3);
    cluster.toPublisher(in_force_query {base::request_id(7),
                                        base::generation(cluster.lastGeneration),
                                        base::clock_time::ofSeconds(4)});
    CHECK(cluster.answers.empty());
    cluster.runFor(base::clock_time::ofSeconds(1));
    LONGS_EQUAL(1, cluster.answers.size());
    CHECK(cluster.answers.front()->isInForce());
}

TEST(dissemination, atItsDeadlineAQuestionNamesThoseBehindAndThoseUnreachable)
{
    fake_cluster cluster(1, {});
    fill(cluster);
    cluster.admit({memberOf("entry-9", "")});
    CHECK(cluster.settles());
    cluster.runFor(base::clock_time::ofSeconds(1));
    // The present incarnation of agent-1 has not spoken.
    cluster.admit({memberOf("agent-1", "logbook", 2)});
    cluster.nodes.at("agent-2").isCut = true;
    cluster.change(3);
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
    cluster.admit(manyMembers(250, "logbook"));
    cluster.toPublisher(in_force_query {base::request_id(7), base::generation(1)});
    LONGS_EQUAL(250, cluster.answers.front()->unreachableCount);
    LONGS_EQUAL(forceAnswerNames, cluster.answers.front()->unreachable.size());
}

TEST(dissemination, anAcknowledgementFromAnotherHistoryCountsForNothing)
{
    fake_cluster cluster(1, {});
    fill(cluster);
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
    const std::string whole = encodeNodeMessage(request);
    CHECK(base::valueOf(decodeNodeMessage(whole)) == node_message(request));
    for (std::size_t length = 0; length < whole.size(); ++length)
        CHECK(!base::isOk(decodeNodeMessage(whole.substr(0, length))));
    CHECK(base::errorOf(decodeNodeMessage("\x63"))->code == base::error_code::messageVersion);
    CHECK(base::errorOf(decodeControlMessage(whole))->code == base::error_code::messageVersion);
}

// The generations between are not known after merged entries, so a node in between gets all.
TEST(dissemination, aNodeBehindMergedEntriesGetsASnapshot)
{
    fake_cluster cluster(1, network_faults {});
    const std::vector<membership::member> first {memberOf("entry-1", "")};
    const std::vector<membership::member> second {memberOf("agent-1", "logbook")};
    cluster.admit(first);
    cluster.join("entry-1", "");
    CHECK(cluster.settles());
    cluster.nodes.at("entry-1").isCut = true;
    cluster.admit(second);
    cluster.admit({memberOf("agent-2", "logbook")});
    cluster.restartControlMerged(
        {{memberOf("entry-1", ""), memberOf("agent-1", "logbook"), memberOf("agent-2", "logbook")},
         {}});
    cluster.nodes.at("entry-1").isCut = false;
    CHECK(cluster.settles());
    LONGS_EQUAL(3, cluster.nodes.at("entry-1").state.held->members.size());
    LONGS_EQUAL(0, cluster.nodes.at("entry-1").mismatches);
}

TEST(dissemination, aNodeAtTheEndOfMergedEntriesGetsNothingAgain)
{
    fake_cluster cluster(1, network_faults {});
    const std::vector<membership::member> all {memberOf("entry-1", ""),
                                               memberOf("agent-1", "logbook")};
    cluster.admit(all);
    cluster.join("entry-1", "");
    CHECK(cluster.settles());
    const int pieces = cluster.nodes.at("entry-1").pieces;
    cluster.restartControlMerged({all, {}});
    CHECK(cluster.settles());
    LONGS_EQUAL(pieces, cluster.nodes.at("entry-1").pieces);
    LONGS_EQUAL(0, cluster.nodes.at("entry-1").mismatches);
}
