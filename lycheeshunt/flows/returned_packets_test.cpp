// The packet path for backend servers that return packets of flows that they do not hold.

#include "lycheeshunt/flows/agent_fixture_test.h"

using namespace lycheeshunt;
using namespace lycheeshunt::flows;
using namespace lycheeshunt::flows::testing;

TEST_GROUP_BASE(returned_packets, agent_fixture) {};

TEST(returned_packets, aNewFlowIsOpenedHereAndTheEntryGetsAHintWhenItsServerAnswers)
{
    const packets::ip_summary opening = summaryForOwnBucket(true);
    apply(packetFor(opening, packet_stage::toDirector));
    CHECK_EQUAL(1U, actionsOf<deliver_to_server>().size());
    CHECK(sentMessages<opening_hint>().empty());
    receiveFromServer(summaryOf(opening.key.caller.port, false));
    const std::vector<opening_hint> hints = sentMessages<opening_hint>();
    CHECK_EQUAL(1U, hints.size());
    CHECK(hints.front().owner.node == nodeOf("a1"));
}

TEST(returned_packets, aDrainingAgentOffersNewFlowsToOthersAndKeepsItsOwn)
{
    const packets::ip_summary opening = summaryForOwnBucket(true);
    apply(packetFor(opening, packet_stage::toDirector));
    receivePeerReports();
    setServer(false);
    const packets::ip_summary other {base::flow_key {base::endpoint {1, 1}, address, 6}, true};
    apply(packetFor(other, packet_stage::toDirector));
    CHECK(actionsOf<deliver_to_server>().empty());
    CHECK(actionsOf<send_packet>().front().packet.stage == packet_stage::offer);
    apply(packetFor(summaryOf(opening.key.caller.port, false, 10), packet_stage::toOwner));
    CHECK_EQUAL(1U, actionsOf<deliver_to_server>().size());
}

TEST(returned_packets, aFlowThatNoAgentAcceptsIsResetAtOnce)
{
    setServer(false);
    apply(packetFor(summaryForOwnBucket(true), packet_stage::toDirector));
    CHECK(actionsOf<reset_caller>().front().reason == base::error_code::noServer);
}

TEST(returned_packets, aReturnedOpeningPacketIsOfferedToAnotherAgent)
{
    receivePeerReports();
    const packets::ip_summary opening = summaryForOwnBucket(true);
    apply(packetFor(opening, packet_stage::offer, {nodeOf("a2")}));
    CHECK_EQUAL(1U, actionsOf<deliver_to_server>().size());
    receiveFromServer(returnedSummary(opening));
    const send_packet next = actionsOf<send_packet>().front();
    CHECK(next.packet.stage == packet_stage::offer);
    CHECK(next.to == agentNamed("a3", 3).packets);
    CHECK(next.packet.entry == entry);
}

TEST(returned_packets, aServerThatLeftAnOpeningPacketUnansweredGetsNoNewFlows)
{
    receivePeerReports();
    apply(packetFor(summaryForOwnBucket(true), packet_stage::toDirector));
    now += 200;
    receivePeerReports();
    apply(tick {});
    CHECK_EQUAL(1U, actionsOf<send_packet>().size());
    apply(packetFor(packets::ip_summary {base::flow_key {base::endpoint {1, 2}, address, 6}, true},
                    packet_stage::toDirector));
    CHECK(actionsOf<deliver_to_server>().empty());
}

// A server that is starting returns every packet. Its agent must not deliver the same packet to it
// in a loop when no other agent accepts the flow either.
TEST(returned_packets, anOpeningPacketThatNoAgentAcceptsIsDeliveredOnlyOnce)
{
    const packets::ip_summary opening = summaryForOwnBucket(true);
    apply(packetFor(opening, packet_stage::offer,
                    {nodeOf("a4"), nodeOf("a5"), nodeOf("a2"), nodeOf("a3")}));
    CHECK_EQUAL(1U, actionsOf<deliver_to_server>().size());
    receiveFromServer(returnedSummary(opening));
    CHECK(actionsOf<deliver_to_server>().empty());
    CHECK_EQUAL(1U, actionsOf<reset_caller>().size());
}

TEST(returned_packets, aServerThatReturnedAnOpeningPacketGetsNoNewFlowsForAWhile)
{
    receivePeerReports();
    const packets::ip_summary opening = summaryForOwnBucket(true);
    apply(packetFor(opening, packet_stage::toDirector));
    receiveFromServer(returnedSummary(opening));
    const packets::ip_summary other {base::flow_key {base::endpoint {1, 2}, address, 6}, true};
    apply(packetFor(other, packet_stage::toDirector));
    CHECK(actionsOf<deliver_to_server>().empty());
    now += 150;
    apply(packetFor(packets::ip_summary {base::flow_key {base::endpoint {1, 3}, address, 6}, true},
                    packet_stage::toDirector));
    CHECK_EQUAL(1U, actionsOf<deliver_to_server>().size());
}

// A flow that is opened at a dead server gets no answer, so only one flow at a time may probe it.
TEST(returned_packets, aSilentServerIsProbedByOneFlowAtATime)
{
    receivePeerReports();
    apply(packetFor(summaryForOwnBucket(true), packet_stage::toDirector));
    now += 200;
    apply(tick {});
    now += 1000;
    receivePeerReports();
    const packets::ip_summary second {base::flow_key {base::endpoint {1, 2}, address, 6}, true};
    apply(packetFor(second, packet_stage::toDirector));
    CHECK_EQUAL(1U, actionsOf<deliver_to_server>().size());
    const packets::ip_summary third {base::flow_key {base::endpoint {1, 3}, address, 6}, true};
    apply(packetFor(third, packet_stage::toDirector));
    CHECK(actionsOf<deliver_to_server>().empty());
    // The server is back.
    receiveFromServer(packets::ip_summary {second.key});
    const packets::ip_summary fourth {base::flow_key {base::endpoint {1, 4}, address, 6}, true};
    apply(packetFor(fourth, packet_stage::offer, {nodeOf("a2"), nodeOf("a3")}));
    CHECK_EQUAL(1U, actionsOf<deliver_to_server>().size());
}

TEST(returned_packets, aFlowThatNoAgentOwnsIsReportedUnknown)
{
    const packets::ip_summary data = summaryForOwnBucket(false, 10);
    apply(packetFor(data, packet_stage::toDirector));
    CHECK_EQUAL(2U, sentMessages<flow_lookup>().size());
    answerLookups(data.key, {"a2", "a3"}, lookup_verdict::unknown);
    const send_packet refused = actionsOf<send_packet>().front();
    CHECK(refused.to == entry);
    CHECK(refused.packet.stage == packet_stage::unknown);
    CHECK_FALSE(refused.packet.isDoubtful);
}

TEST(returned_packets, aFlowIsDoubtfulWhileAnAgentDoesNotReply)
{
    const packets::ip_summary data = summaryForOwnBucket(false, 10);
    apply(packetFor(data, packet_stage::toDirector));
    answerLookups(data.key, {"a2"}, lookup_verdict::unknown);
    now += 2500;
    apply(tick {});
    CHECK(actionsOf<reset_caller>().empty());
    CHECK(actionsOf<send_packet>().front().packet.isDoubtful);
}

TEST(returned_packets, serversOlderThanTheirAgentsAreTriedInTurn)
{
    const packets::ip_summary data = summaryForOwnBucket(false, 10);
    apply(packetFor(data, packet_stage::toDirector));
    answerLookups(data.key, {"a2", "a3"}, lookup_verdict::mayOwn);
    const send_packet first = actionsOf<send_packet>().front();
    CHECK(first.packet.stage == packet_stage::trial);
    // The packet comes back to this agent in the end.
    CHECK_EQUAL(2U, first.packet.agents.size());
    CHECK(first.packet.agents.back() == nodeOf("a1"));
    // At a candidate: its server returns the packet, which goes to the next candidate.
    apply(packetFor(data, packet_stage::trial, {nodeOf("a3")}));
    CHECK_EQUAL(1U, actionsOf<deliver_to_server>().size());
    receiveFromServer(returnedSummary(data));
    CHECK(actionsOf<send_packet>().front().to == agentNamed("a3", 3).packets);
    // The agent that has begun the trial notifies the entry.
    apply(packetFor(data, packet_stage::trial));
    CHECK(actionsOf<deliver_to_server>().empty());
    CHECK(actionsOf<send_packet>().front().packet.stage == packet_stage::unknown);
}

TEST(returned_packets, aRestartedAgentFindsAFlowByDeliveringItsPacket)
{
    const packets::ip_summary data = summaryOf(9, false, 10);
    apply(packetFor(data, packet_stage::trial));
    receiveFromServer(summaryOf(9, false, 200));
    CHECK_EQUAL(1U, actionsOf<answer_caller>().size());
    CHECK_EQUAL(1U, sentMessages<owner_hint>().size());
    apply(packetFor(data, packet_stage::toOwner));
    CHECK_EQUAL(1U, actionsOf<deliver_to_server>().size());
}

TEST(returned_packets, aFlowThatItsServerAnsweredAndThenReturnsIsReset)
{
    const packets::ip_summary opening = summaryForOwnBucket(true);
    apply(packetFor(opening, packet_stage::toDirector));
    const packets::ip_summary data = summaryOf(opening.key.caller.port, false, 10);
    apply(packetFor(data, packet_stage::toOwner));
    receiveFromServer(summaryOf(opening.key.caller.port, false, 200));
    // The server has crashed and restarted.
    apply(packetFor(data, packet_stage::toOwner));
    receiveFromServer(returnedSummary(data));
    CHECK(actionsOf<reset_caller>().front().reason == base::error_code::flowUnknown);
}

// Two servers have answered copies of one opening packet, and the caller uses the other server.
TEST(returned_packets, aFlowWithoutServerPayloadIsLookedUpAndNotReset)
{
    const packets::ip_summary opening = summaryForOwnBucket(true);
    apply(packetFor(opening, packet_stage::toDirector));
    receiveFromServer(summaryOf(opening.key.caller.port, false));
    const packets::ip_summary data = summaryOf(opening.key.caller.port, false, 10);
    apply(packetFor(data, packet_stage::toOwner));
    receiveFromServer(returnedSummary(data));
    CHECK(actionsOf<reset_caller>().empty());
    CHECK_EQUAL(2U, sentMessages<flow_lookup>().size());
}

TEST(returned_packets, aPacketForAnotherServiceIsDeliveredAndSentBackToTheEntry)
{
    const packets::ip_summary data = summaryOf(5, false, 10);
    const forwarded_packet foreign {base::serviceIdOf("inspect"),
                                    base::incarnation(1),
                                    base::generation(1),
                                    packet_stage::toOwner,
                                    0,
                                    data,
                                    base::packet_bytes("packet"),
                                    entry};
    apply(foreign);
    receiveFromServer(returnedSummary(data));
    const send_packet back = actionsOf<send_packet>().front();
    CHECK(back.to == entry);
    CHECK(back.packet.stage == packet_stage::unknown);
    // An opening packet for another service never reaches the server.
    apply(forwarded_packet {base::serviceIdOf("inspect"), base::incarnation(1), base::generation(1),
                            packet_stage::toOwner, 0, summaryOf(6, true),
                            base::packet_bytes("packet"), entry});
    CHECK(actionsOf<deliver_to_server>().empty());
}

// Guards against resets of open flows by an agent that does not know every agent of the sender's
// view, such as one that has just joined.
TEST(returned_packets, anAgentWhoseViewIsOlderThanTheSendersIsInDoubtAboutAFlow)
{
    const packets::ip_summary data = summaryForOwnBucket(false, 10);
    apply(forwarded_packet {logbook, base::incarnation(1), base::generation(2),
                            packet_stage::toDirector, 0, data, base::packet_bytes("packet"),
                            entry});
    answerLookups(data.key, {"a2", "a3"}, lookup_verdict::unknown);
    CHECK(actionsOf<send_packet>().front().packet.stage == packet_stage::unknown);
    CHECK(actionsOf<send_packet>().front().packet.isDoubtful);
}

// Guards against resets of open flows by an agent of another service at the address of an agent
// that is gone.
TEST(returned_packets, anAgentOfAnotherServiceIsInDoubtAboutAFlow)
{
    apply(forwarded_packet {base::serviceIdOf("inspect"), base::incarnation(1), base::generation(1),
                            packet_stage::toDirector, 0, summaryOf(5, false, 10),
                            base::packet_bytes("packet"), entry});
    CHECK(actionsOf<send_packet>().front().packet.stage == packet_stage::unknown);
    CHECK(actionsOf<send_packet>().front().packet.isDoubtful);
}

// Guards against resets of open flows when a server returns a second packet, whose entry is no
// longer known.
TEST(returned_packets, aReturnedPacketWithoutItsDeliveryIsDoubtful)
{
    const packets::ip_summary data = summaryForOwnBucket(false, 10);
    apply(packetFor(data, packet_stage::trial));
    apply(packetFor(data, packet_stage::trial));
    receiveFromServer(returnedSummary(data));
    receiveFromServer(returnedSummary(data));
    answerLookups(data.key, {"a2", "a3"}, lookup_verdict::unknown);
    CHECK(actionsOf<reset_caller>().empty());
}

// Guards against resets of open flows by an entry that does not know yet of another service which
// may have the flow.
TEST(returned_packets, anAgentWhoseViewIsLaterThanTheEntrysIsInDoubtAboutAFlow)
{
    const packets::ip_summary data = summaryForOwnBucket(false, 10);
    apply(forwarded_packet {logbook, base::incarnation(1), base::generation(0),
                            packet_stage::toDirector, 0, data, base::packet_bytes("packet"),
                            entry});
    answerLookups(data.key, {"a2", "a3"}, lookup_verdict::unknown);
    CHECK(actionsOf<send_packet>().front().packet.isDoubtful);
}

// Guards against resets of open flows after a search in a view older than that of the agents that
// were queried, which may know of more agents.
TEST(returned_packets, aSearchWithAnswersFromANewerViewIsDoubtful)
{
    const packets::ip_summary data = summaryForOwnBucket(false, 10);
    apply(packetFor(data, packet_stage::toDirector));
    for (const std::uint16_t port : {2, 3}) {
        const membership::member member = agentNamed("a" + std::to_string(port), port);
        apply(peer_message(lookup_answer {
            logbook, data.key, routing::target {member.id(), member.incarnation, member.packets},
            base::generation(2), lookup_verdict::unknown, routing::target {}}));
    }
    CHECK(actionsOf<send_packet>().front().packet.isDoubtful);
}

TEST(returned_packets, requestsAtTheServerAreCountedUntilTheirAnswersStart)
{
    const packets::ip_summary opening = summaryForOwnBucket(true);
    const std::uint16_t port = opening.key.caller.port;
    apply(packetFor(opening, packet_stage::toDirector));
    CHECK_EQUAL(0U, state->busyFlows);
    apply(packetFor(summaryOf(port, false, 100), packet_stage::toOwner));
    apply(packetFor(summaryOf(port, false, 100), packet_stage::toOwner));
    CHECK_EQUAL(1U, state->busyFlows);
    CHECK_EQUAL(1U, state->placement->ownLoad->slots.busy);
    receiveFromServer(summaryOf(port, false, 500));
    CHECK_EQUAL(0U, state->busyFlows);
    // A retransmission of the first packet, whose acknowledgement has not reached the caller yet.
    apply(packetFor(summaryOf(port, false, 100), packet_stage::toOwner));
    CHECK_EQUAL(0U, state->busyFlows);
    const base::flow_key key = opening.key;
    apply(packetFor(packets::ip_summary {key, false, false, false, 100, false, false, 100},
                    packet_stage::toOwner));
    CHECK_EQUAL(1U, state->busyFlows);
    receiveFromServer(returnedSummary(summaryOf(port, false, 100)));
    CHECK_EQUAL(0U, state->busyFlows);
}

TEST(returned_packets, beforeTheFirstViewEveryRefusalIsDoubtful)
{
    const membership::member self = agentNamed("a1", 1);
    state = std::make_unique<flow_state>(
        agent_identity {self.id(), logbook, self.incarnation, self.packets, "zone-1", true});
    std::size_t refused = 0;
    const std::uint16_t flows = base::early_packets<forwarded_packet>::maxPackets + 10;
    for (std::uint16_t port = 1; port <= flows; ++port) {
        apply(packetFor(summaryOf(port, false, 10), packet_stage::toDirector));
        CHECK(actionsOf<reset_caller>().empty());
        // Packets for which the buffer has no room.
        for (const send_packet &send : actionsOf<send_packet>()) {
            CHECK(send.packet.isDoubtful);
            ++refused;
        }
    }
    LONGS_EQUAL(10, refused);
    apply(packetFor(summaryOf(6, true), packet_stage::toDirector));
    CHECK(actionsOf<reset_caller>().empty());
}

// After a restart of every process, a packet of an open flow may arrive before the first view. Its
// caller retransmits it only after more than a second.
TEST(returned_packets, aPacketOfAnOpenFlowIsBufferedUntilTheFirstView)
{
    const dissemination::shared_view view = state->view;
    const membership::member self = agentNamed("a1", 1);
    state = std::make_unique<flow_state>(
        agent_identity {self.id(), logbook, self.incarnation, self.packets, "zone-1", true});
    setServer(true, true);
    const packets::ip_summary summary = summaryOf(77, false, 100);
    apply(packetFor(summary, packet_stage::toDirector));
    LONGS_EQUAL(0, actionsOf<send_packet>().size());
    now += 300;
    apply(view_update {view});
    const std::vector<flow_lookup> queries = sentMessages<flow_lookup>();
    const std::vector<send_packet> forwarded = actionsOf<send_packet>();
    CHECK(queries.size() + forwarded.size() > 0);
    CHECK(state->earlyPackets.isEmpty());
}

TEST(returned_packets, aPacketThatWaitedTooLongForAViewIsDropped)
{
    const dissemination::shared_view view = state->view;
    const membership::member self = agentNamed("a1", 1);
    state = std::make_unique<flow_state>(
        agent_identity {self.id(), logbook, self.incarnation, self.packets, "zone-1", true});
    setServer(true, true);
    apply(packetFor(summaryOf(77, false, 100), packet_stage::toDirector));
    now += 5000;
    apply(view_update {view});
    LONGS_EQUAL(0, sentMessages<flow_lookup>().size());
    LONGS_EQUAL(0, actionsOf<send_packet>().size());
}
