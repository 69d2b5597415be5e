// Flows at an agent whose zone is evacuated and returned to service.

#include "lycheeshunt/flows/agent_fixture_test.h"

using namespace lycheeshunt;
using namespace lycheeshunt::flows;
using namespace lycheeshunt::flows::testing;

namespace {

membership::member inZone(const membership::member &member, const std::string &zone)
{
    return membership::member {member.name,        zone,          member.role, member.service,
                               member.incarnation, member.packets};
}

// "a1" is in zone-1, "a2" and "a3" are in zone-2.
struct evacuation_fixture : public agent_fixture
{
    std::uint64_t generation = 1;

    void evacuate(const std::set<std::string> &zones)
    {
        std::map<base::node_id, membership::member> members;
        for (const membership::member &member :
             {agentNamed("a1", 1), inZone(agentNamed("a2", 2), "zone-2"),
              inZone(agentNamed("a3", 3), "zone-2")})
            members.emplace(member.id(), member);
        std::map<base::service_id, tickets::service_definition> services;
        services.emplace(logbook, tickets::service_definition {"logbook", {}, {}, 64});
        apply(view_update {
            std::make_shared<const dissemination::cluster_view>(dissemination::cluster_view {
                base::generation(++generation), services, members, {}, {}, zones})});
        receivePeerReports();
    }

    void offer(std::uint16_t port)
    {
        apply(packetFor(summaryOf(port, true), packet_stage::offer, {nodeOf("a2")}, 1));
    }
};

} // namespace

TEST_GROUP_BASE(evacuation, evacuation_fixture) {};

// Guards against opening packets at servers of an evacuated zone that come by an agent with an
// older view.
TEST(evacuation, aFlowOfferedToAnAgentInAnEvacuatedZoneGoesToAnotherAgent)
{
    evacuate({"zone-1"});
    offer(1);
    CHECK(actionsOf<deliver_to_server>().empty());
    LONGS_EQUAL(1, actionsOf<send_packet>().size());
    CHECK(actionsOf<send_packet>().front().to == agentNamed("a3", 3).packets);
    CHECK(actionsOf<send_packet>().front().packet.stage == packet_stage::offer);
}

// Guards against an agent that stays out of service until its next incarnation.
TEST(evacuation, anAgentServesAgainAtOnceWhenTheEvacuationIsWithdrawn)
{
    evacuate({"zone-1"});
    evacuate({});
    offer(1);
    LONGS_EQUAL(1, actionsOf<deliver_to_server>().size());
}

// Guards against callers that wait for an answer which no agent may give.
TEST(evacuation, aNewFlowIsRefusedAtOnceWhenAllAgentsAreEvacuated)
{
    evacuate({"zone-1", "zone-2"});
    apply(packetFor(summaryForOwnBucket(true), packet_stage::toDirector));
    CHECK(actionsOf<deliver_to_server>().empty());
    CHECK(actionsOf<send_packet>().empty());
    LONGS_EQUAL(1, actionsOf<reset_caller>().size());
}

TEST(evacuation, aNewFlowIsNotOfferedToAgentsInAnEvacuatedZone)
{
    evacuate({"zone-2"});
    setServer(false);
    apply(packetFor(summaryForOwnBucket(true), packet_stage::toDirector));
    CHECK(actionsOf<send_packet>().empty());
    LONGS_EQUAL(1, actionsOf<reset_caller>().size());
}

// Guards against lost open flows, and against an opening packet at the server of an evacuated zone
// when a caller uses the port of a flow again.
TEST(evacuation, anOpenFlowStaysButItsServerGetsNoOpeningPacket)
{
    const packets::ip_summary opening = summaryForOwnBucket(true);
    apply(packetFor(opening, packet_stage::toDirector));
    LONGS_EQUAL(1, actionsOf<deliver_to_server>().size());
    receiveFromServer(summaryOf(opening.key.caller.port, false));
    evacuate({"zone-1"});
    apply(packetFor(summaryOf(opening.key.caller.port, false, 100), packet_stage::toOwner));
    LONGS_EQUAL(1, actionsOf<deliver_to_server>().size());
    apply(packetFor(opening, packet_stage::toOwner));
    CHECK(actionsOf<deliver_to_server>().empty());
    CHECK(actionsOf<send_packet>().front().packet.stage == packet_stage::offer);
    CHECK(actionsOf<send_packet>().front().packet.isDoubtful);
    CHECK(state->owned.find(opening.key) != nullptr);
}

// An agent that has just started is not a member of the first views that it gets.
TEST(evacuation, anAgentThatIsNoMemberYetTakesNoFlowInAnEvacuatedZone)
{
    std::map<base::service_id, tickets::service_definition> services;
    services.emplace(logbook, tickets::service_definition {"logbook", {}, {}, 64});
    apply(view_update {std::make_shared<const dissemination::cluster_view>(
        dissemination::cluster_view {base::generation(2), services, {}, {}, {}, {"zone-1"}})});
    offer(1);
    CHECK(actionsOf<deliver_to_server>().empty());
}
