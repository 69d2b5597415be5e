// Evacuated zones in the views of nodes.

#include "lycheeshunt/base/codec.h"
#include "lycheeshunt/dissemination/fake_cluster_test.h"
#include "lycheeshunt/membership/codec.h"

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using namespace lycheeshunt::dissemination;
using namespace lycheeshunt::dissemination::testing;

namespace {

using texts = std::vector<std::string>;
using numbers = std::vector<std::uint64_t>;

const std::vector<membership::member> members {memberOf("entry-1", ""),
                                               memberOf("agent-1", "logbook")};

// A delta as builds without evacuations encode it: a change of eight lists.
std::string plainDelta(const membership::member &member, const std::string &draining)
{
    const std::tuple<texts, numbers, texts, numbers, texts, texts, texts, texts> change {
        {}, {}, {membership::encodeMember(member)}, {7}, {draining}, {}, {}, {}};
    return std::string(1, 1)
        + base::packFields(std::make_tuple(std::uint64_t(1), std::uint64_t(2), std::uint64_t(3),
                                           std::uint64_t(4), change));
}

view_delta deltaOf(const view_change &change)
{
    return view_delta {base::generation(1), base::generation(2), base::generation(3),
                       view_digest(4), change};
}

} // namespace

TEST_GROUP(evacuation)
{
    fake_cluster cluster {1, network_faults {}};

    void setup() override
    {
        cluster.commitMembers(members);
        cluster.startNode("entry-1", "");
        cluster.startNode("agent-1", "logbook");
        CHECK(cluster.converges());
    }

    void order(const std::string &zone, bool isEvacuated)
    {
        cluster.toPublisher(
            evacuation_applied {base::generation(++cluster.lastGeneration), {zone, isEvacuated}});
    }

    // What the nodes hold equals control's part for them, without a repair by digest.
    void checkNodesHave(const std::set<std::string> &zones)
    {
        CHECK(cluster.converges());
        for (auto it = cluster.nodes.begin(); it != cluster.nodes.end(); ++it) {
            CHECK(it->second.state.view->evacuated == zones);
            CHECK(it->second.state.digest == digestOf(*it->second.state.view));
            LONGS_EQUAL(0, it->second.mismatches);
        }
    }
};

// Guards against nodes of an earlier build that can't read the views of a deployment which
// evacuates nothing.
TEST(evacuation, aChangeWithoutZonesIsEncodedAsBefore)
{
    std::map<base::node_id, member_change> changed;
    changed.emplace(members.back().id(), member_change {members.back(), base::service_id()});
    changed.emplace(base::node_id(7), member_change {std::nullopt, base::service_id()});
    const view_delta delta = deltaOf(view_change {{}, changed, {{"agent-2", true}}});
    const std::string bytes = encodeControlMessage(delta);
    CHECK(bytes == plainDelta(members.back(), "agent-2"));
    CHECK(base::valueOf(decodeControlMessage(bytes)) == control_message(delta));
}

TEST(evacuation, aChangeWithZonesIsDecodedToTheSameChange)
{
    const view_delta delta
        = deltaOf(view_change {{}, {}, {}, {}, {{"zone-1", true}, {"zone-2", false}}});
    const std::string bytes = encodeControlMessage(delta);
    CHECK(base::valueOf(decodeControlMessage(bytes)) == control_message(delta));
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK_FALSE(base::isOk(decodeControlMessage(bytes.substr(0, length))));
}

TEST(evacuation, nodesOfEveryScopeGetTheZonesByDelta)
{
    const int pieces = cluster.nodes.at("agent-1").pieces;
    order("zone-1", true);
    order("zone-2", true);
    order("zone-2", false);
    checkNodesHave({"zone-1"});
    order("zone-1", false);
    checkNodesHave({});
    LONGS_EQUAL(pieces, cluster.nodes.at("agent-1").pieces);
}

// Guards against a withdrawal that does not reach a node which was cut off meanwhile.
TEST(evacuation, aNodeWithAnOldGenerationGetsTheLastOrder)
{
    order("zone-1", true);
    checkNodesHave({"zone-1"});
    cluster.nodes.at("agent-1").isDisconnected = true;
    order("zone-1", false);
    order("zone-3", true);
    cluster.runFor(base::clock_time::ofSeconds(5));
    cluster.nodes.at("agent-1").isDisconnected = false;
    checkNodesHave({"zone-3"});
}

// Guards against control VMs that lose the zones of a merged or compacted log.
TEST(evacuation, nodesGetTheZonesBySnapshotAfterControlHasRestarted)
{
    order("zone-1", true);
    checkNodesHave({"zone-1"});
    cluster.publisher = publisher_state {};
    cluster.toPublisher(entries_merged {base::generation(++cluster.lastGeneration),
                                        membership::membership_batch {members, {}},
                                        {},
                                        {{"zone-1", false}, {"zone-2", true}}});
    for (const char *name : {"entry-1", "agent-1"})
        cluster.connect(name);
    checkNodesHave({"zone-2"});
}

// Guards against snapshots for all nodes when a busy leader commits several orders in one write.
TEST(evacuation, ordersCommittedTogetherReachTheNodesAsADelta)
{
    order("zone-1", true);
    checkNodesHave({"zone-1"});
    const int pieces = cluster.nodes.at("entry-1").pieces + cluster.nodes.at("agent-1").pieces;
    const std::uint64_t before = cluster.lastGeneration;
    cluster.lastGeneration += 8;
    cluster.toPublisher(entries_merged {
        base::generation(cluster.lastGeneration), {}, {}, {{"zone-1", false}, {"zone-2", true}}});
    checkNodesHave({"zone-2"});
    LONGS_EQUAL(pieces, cluster.nodes.at("entry-1").pieces + cluster.nodes.at("agent-1").pieces);
    // A node that has one of the generations in between, from another leader, gets a snapshot.
    CHECK(cluster.publisher.historyCovers(base::generation(before - 1)));
    CHECK(cluster.publisher.historyCovers(base::generation(before)));
    for (std::uint64_t at = before + 1; at < cluster.lastGeneration; ++at)
        CHECK_FALSE(cluster.publisher.historyCovers(base::generation(at)));
    order("zone-3", true);
    checkNodesHave({"zone-2", "zone-3"});
    CHECK_FALSE(cluster.publisher.historyCovers(base::generation(before + 1)));
}

// If a piece ends between two zones, the next one starts after the last zone of it.
TEST(evacuation, aSnapshotMayBeCutBetweenZones)
{
    std::set<std::string> zones;
    for (std::size_t i = 0; i < snapshotPieceObjects + 10; ++i) {
        zones.insert("zone-" + std::to_string(i));
        order("zone-" + std::to_string(i), true);
    }
    for (const char *name : {"entry-1", "agent-1"})
        cluster.startNode(name, std::string(name) == "entry-1" ? "" : "logbook");
    checkNodesHave(zones);
}

TEST(evacuation, onlyAgentsOfAnEvacuatedZoneAreDraining)
{
    order("zone-1", true);
    const cluster_view &view = *cluster.publisher.view;
    CHECK_FALSE(view.isDraining(view.members.at(base::nodeIdOf("entry-1"))));
    const membership::member agent = view.members.at(base::nodeIdOf("agent-1"));
    CHECK(view.isDraining(agent));
    // Its server serves again when the zone does.
    CHECK_FALSE(view.isDrained(agent));
    order("zone-1", false);
    CHECK_FALSE(cluster.publisher.view->isDraining(agent));
}
