// Packets that arrive late where backend servers return packets: an opening packet after its copy
// has opened the flow, or a packet of another flow with the same key.

#include "lycheeshunt/flows/agent_fixture_test.h"

using namespace lycheeshunt;
using namespace lycheeshunt::flows;
using namespace lycheeshunt::flows::testing;

namespace {

packets::ip_summary copyOf(const packets::ip_summary &opening)
{
    return packets::ip_summary {opening.key, true, false, false, 0, true};
}

packets::ip_summary dataOf(const packets::ip_summary &opening, std::uint32_t sequence,
                           bool isReturned = false)
{
    return packets::ip_summary {opening.key, false, false, false, 10, false, isReturned, sequence};
}

// Of two flows with the same key.
constexpr std::uint32_t firstSequence = 0xfffffff0;
constexpr std::uint32_t otherSequence = 0x50000000;

struct late_packets_fixture : public agent_fixture
{
    void registerFlow(const base::flow_key &key, const char *owner, std::uint16_t port)
    {
        const membership::member member = agentNamed(owner, port);
        apply(peer_message(
            registration_batch {logbook,
                                routing::target {member.id(), member.incarnation, member.packets},
                                base::generation(1),
                                1,
                                {registered_flow {key}}}));
    }

    // The next view has this agent as a silent one.
    void suspect(const char *name, std::uint16_t port)
    {
        const membership::member member = agentNamed(name, port);
        std::map<base::node_id, membership::member> members = state->view->members;
        members.erase(member.id());
        members.emplace(member.id(), member.withPhase(membership::member_phase::suspected));
        apply(view_update {std::make_shared<const dissemination::cluster_view>(
            dissemination::cluster_view {base::generation(2), state->view->services, members})});
    }

    void receiveReportsOfFullPeers()
    {
        for (const char *name : {"a2", "a3"})
            apply(peer_message(placement::load_report {
                nodeOf(name), base::incarnation(1), static_cast<std::uint64_t>(now + 2),
                placement::server_load {admission::slot_counts {slots, slots, 0, 0, false, false},
                                        0}}));
    }
};

} // namespace

TEST_GROUP_BASE(late_packets, late_packets_fixture) {};

// Guards against resets of open flows: the copy of the opening packet came to the backup, which
// placed the flow, and the first one comes to the director when no agent has room.
TEST(late_packets, aFirstOpeningPacketOfAFlowThatAnotherAgentOwnsIsNotReset)
{
    setServer(false);
    const packets::ip_summary opening = summaryForOwnBucket(true);
    registerFlow(opening.key, "a2", 2);
    apply(packetFor(opening, packet_stage::toDirector));
    CHECK(actionsOf<reset_caller>().empty());
    // A flow that nobody owns is still refused at once.
    apply(packetFor(packets::ip_summary {base::flow_key {base::endpoint {1, 1}, address, 6}, true},
                    packet_stage::toDirector));
    LONGS_EQUAL(1, actionsOf<reset_caller>().size());
}

// Guards against resets of open flows: this agent has offered the copy to another agent, whose
// registration is not here yet, and no agent has room when the first one arrives.
TEST(late_packets, aFirstOpeningPacketAfterItsCopyWasPlacedIsNotReset)
{
    receivePeerReports();
    setServer(false);
    const packets::ip_summary opening = summaryForOwnBucket(true);
    apply(packetFor(copyOf(opening), packet_stage::toDirector));
    CHECK(actionsOf<send_packet>().front().packet.stage == packet_stage::offer);
    receiveReportsOfFullPeers();
    apply(packetFor(opening, packet_stage::toDirector));
    CHECK(actionsOf<reset_caller>().empty());
}

// Guards against a flow that is opened a second time: its copy opened it at another agent, and the
// first opening packet comes to the director, which has room and has registered the owner.
TEST(late_packets, aFirstOpeningPacketOfARegisteredFlowGoesToItsOwner)
{
    receivePeerReports();
    const packets::ip_summary opening = summaryForOwnBucket(true);
    registerFlow(opening.key, "a2", 2);
    apply(packetFor(opening, packet_stage::toDirector));
    CHECK(actionsOf<deliver_to_server>().empty());
    CHECK(sentMessages<owner_hint>().empty());
    const forwarded_packet forwarded = actionsOf<send_packet>().front().packet;
    CHECK(forwarded.stage == packet_stage::toOwner);
    CHECK(forwarded.isDoubtful);
    CHECK(actionsOf<send_packet>().front().to == agentNamed("a2", 2).packets);
    // The owner is still known to the director.
    apply(packetFor(dataOf(opening, firstSequence), packet_stage::toDirector));
    CHECK(actionsOf<send_packet>().front().packet.stage == packet_stage::toOwner);
}

// Guards against hints and registrations that lead packets of an open flow to another server: two
// servers have answered copies of its opening packet, and the caller has chosen the first.
TEST(late_packets, aFlowThatACopyOpensIsClaimedOnlyOnceItsServerHasKeptAPacket)
{
    const packets::ip_summary opening = summaryForOwnBucket(true);
    const std::uint16_t port = opening.key.caller.port;
    apply(packetFor(copyOf(opening), packet_stage::toDirector));
    LONGS_EQUAL(1, actionsOf<deliver_to_server>().size());
    CHECK(sentMessages<registration_batch>().empty());
    receiveFromServer(summaryOf(port, false));
    LONGS_EQUAL(1, sentMessages<opening_hint>().size());
    CHECK(sentMessages<registration_batch>().empty());
    apply(packetFor(dataOf(opening, firstSequence), packet_stage::toOwner));
    LONGS_EQUAL(1, actionsOf<deliver_to_server>().size());
    receiveFromServer(summaryOf(port, false, 200));
    LONGS_EQUAL(1, sentMessages<owner_hint>().size());
    CHECK(state->owned.find(opening.key)->isClaimed());
}

TEST(late_packets, aFlowThatACopyOpenedIsGivenUpWhenItsServerReturnsAPacket)
{
    const packets::ip_summary opening = summaryForOwnBucket(true);
    apply(packetFor(copyOf(opening), packet_stage::toDirector));
    receiveFromServer(summaryOf(opening.key.caller.port, false));
    apply(packetFor(dataOf(opening, firstSequence), packet_stage::toOwner));
    receiveFromServer(dataOf(opening, firstSequence, true));
    CHECK(state->owned.find(opening.key) == nullptr);
    LONGS_EQUAL(1, sentMessages<hint_withdrawn>().size());
    CHECK(sentMessages<hint_withdrawn>().front().node == nodeOf("a1"));
    CHECK(actionsOf<reset_caller>().empty());
}

// Guards against an entry that keeps the hint of the wrong one of two servers: the first payload of
// the flow came by its director, so that the entry is not known any more when the server returns
// it.
TEST(late_packets, anEntryGetsNoHintOfAServerThatMayReturnTheFirstPayload)
{
    const packets::ip_summary opening = summaryForOwnBucket(true);
    apply(packetFor(opening, packet_stage::toDirector));
    receiveFromServer(summaryOf(opening.key.caller.port, false));
    apply(packetFor(summaryOf(opening.key.caller.port, false), packet_stage::toDirector));
    CHECK(sentMessages<owner_hint>().empty());
    apply(packetFor(dataOf(opening, firstSequence), packet_stage::toDirector));
    LONGS_EQUAL(1, actionsOf<deliver_to_server>().size());
    CHECK(sentMessages<owner_hint>().empty());
    // The server has kept it.
    apply(packetFor(dataOf(opening, firstSequence + 10), packet_stage::toDirector));
    LONGS_EQUAL(1, sentMessages<owner_hint>().size());
}

// Guards against flows that can't open because their key is registered for an owner that is silent.
TEST(late_packets, aFirstOpeningPacketIsPlacedWhileTheRegisteredOwnerIsSuspected)
{
    const packets::ip_summary opening = summaryForOwnBucket(true);
    registerFlow(opening.key, "a2", 2);
    suspect("a2", 2);
    apply(packetFor(opening, packet_stage::toDirector));
    LONGS_EQUAL(1, actionsOf<deliver_to_server>().size());
}

// Guards against resets of open flows by an agent that is offered a late opening packet and knows
// nothing of the flow.
TEST(late_packets, theDoubtAboutALateOpeningPacketGoesWithItsOffer)
{
    receivePeerReports();
    setServer(false);
    const packets::ip_summary opening = summaryForOwnBucket(true);
    // The flow's owner is being searched for.
    apply(packetFor(dataOf(opening, firstSequence), packet_stage::toDirector));
    apply(packetFor(opening, packet_stage::toDirector));
    const forwarded_packet offered = actionsOf<send_packet>().front().packet;
    CHECK(offered.stage == packet_stage::offer);
    CHECK(offered.isDoubtful);
    receiveReportsOfFullPeers();
    const packets::ip_summary other = summaryOf(50, true);
    apply(packetFor(other, packet_stage::offer)
              .with(packet_stage::offer, {nodeOf("a2"), nodeOf("a3")}, true));
    CHECK(actionsOf<reset_caller>().empty());
}

// Guards against resets of open flows: the caller has sent a copy by the time a silent server is
// given up, and another agent may have opened the flow with it.
TEST(late_packets, anOpeningPacketThatASilentServerLeftUnansweredIsNotReset)
{
    apply(packetFor(summaryOf(50, true), packet_stage::offer, {nodeOf("a2"), nodeOf("a3")}));
    LONGS_EQUAL(1, actionsOf<deliver_to_server>().size());
    now += 200;
    receiveReportsOfFullPeers();
    apply(tick {});
    CHECK(actionsOf<reset_caller>().empty());
}

// Guards against directories that name the agent of a silent server for 2 s more, and refuse the
// registration of the agent that has the flow by then.
TEST(late_packets, theEndOfAFlowAtASilentServerIsRegisteredAtOnce)
{
    receivePeerReports();
    const packets::ip_summary opening = summaryForOwnBucket(true);
    apply(packetFor(opening, packet_stage::toDirector));
    const std::uint32_t first = sentMessages<registration_batch>().front().sequence;
    now += 200;
    receivePeerReports();
    apply(tick {});
    CHECK(state->owned.find(opening.key) == nullptr);
    now += 100;
    apply(tick {});
    const std::vector<registration_batch> ended = sentMessages<registration_batch>();
    LONGS_EQUAL(1, ended.size());
    CHECK(ended.front().sequence > first);
    CHECK(ended.front().flows == (std::vector<registered_flow> {{opening.key, false}}));
}

// Guards against resets of open flows whose server returns a late opening packet.
TEST(late_packets, aReturnedOpeningPacketOfAnOpenFlowIsNotReset)
{
    const packets::ip_summary opening = summaryForOwnBucket(true);
    const std::uint16_t port = opening.key.caller.port;
    receiveReportsOfFullPeers();
    apply(packetFor(copyOf(opening), packet_stage::offer, {nodeOf("a2"), nodeOf("a3")}));
    receiveFromServer(summaryOf(port, false));
    apply(packetFor(summaryOf(port, false, 10), packet_stage::toOwner));
    apply(packetFor(opening, packet_stage::offer, {nodeOf("a2"), nodeOf("a3")}));
    receiveFromServer(returnedSummary(opening));
    CHECK(actionsOf<reset_caller>().empty());
}

// Guards against resets of open flows: this agent has not noticed the end of an earlier flow of the
// same caller's port, and gets a packet of the one that another agent owns.
TEST(late_packets, aReturnedPacketOfAnotherFlowWithTheKeyOfAnAnsweredOneIsLookedUp)
{
    const packets::ip_summary opening = summaryForOwnBucket(true);
    apply(packetFor(opening, packet_stage::toDirector));
    apply(packetFor(dataOf(opening, firstSequence), packet_stage::toOwner));
    receiveFromServer(summaryOf(opening.key.caller.port, false, 200));
    apply(packetFor(dataOf(opening, otherSequence), packet_stage::toDirector));
    receiveFromServer(dataOf(opening, otherSequence, true));
    CHECK(actionsOf<reset_caller>().empty());
    LONGS_EQUAL(2, sentMessages<flow_lookup>().size());
}

// Guards against resets of an open flow when its server returns a packet late that was tried there
// for an earlier flow of the same caller's port.
TEST(late_packets, aPacketOfAnEarlierFlowThatIsReturnedLateDoesNotResetItsSuccessor)
{
    const packets::ip_summary opening = summaryForOwnBucket(true);
    apply(packetFor(dataOf(opening, otherSequence), packet_stage::trial));
    apply(packetFor(opening, packet_stage::toDirector));
    apply(packetFor(dataOf(opening, firstSequence), packet_stage::toOwner));
    receiveFromServer(summaryOf(opening.key.caller.port, false, 200));
    receiveFromServer(dataOf(opening, otherSequence, true));
    CHECK(actionsOf<reset_caller>().empty());
    apply(packetFor(dataOf(opening, firstSequence + 10), packet_stage::toOwner));
    LONGS_EQUAL(1, actionsOf<deliver_to_server>().size());
}

// Guards against callers that wait when their server has crashed: a packet of the stream that it
// has answered is refused at once, also after the sequence number has wrapped around.
TEST(late_packets, aReturnedPacketOfTheAnsweredFlowIsResetAtOnce)
{
    const packets::ip_summary opening = summaryForOwnBucket(true);
    apply(packetFor(opening, packet_stage::toDirector));
    apply(packetFor(dataOf(opening, firstSequence), packet_stage::toOwner));
    receiveFromServer(summaryOf(opening.key.caller.port, false, 200));
    const std::uint32_t next = firstSequence + 5000;
    apply(packetFor(dataOf(opening, next), packet_stage::toOwner));
    receiveFromServer(dataOf(opening, next, true));
    LONGS_EQUAL(1, actionsOf<reset_caller>().size());
}
