// The path of packets where a backend server gives back what it does not hold.

#include "lycheeshunt/flows/returning_agent_test.h"

using namespace lycheeshunt;
using namespace lycheeshunt::flows;
using namespace lycheeshunt::flows::testing;

TEST_GROUP_BASE(returning, returning_agent) {};

TEST(returning, aNewFlowIsOpenedHereAndTheEntryHearsOfIt)
{
    give(packetFor(directed(true), packet_stage::toDirector));
    CHECK_EQUAL(1U, all<deliver_to_server>().size());
    const std::vector<owner_hint> hints = said<owner_hint>();
    CHECK_EQUAL(1U, hints.size());
    CHECK(hints.front().owner.node == nodeOf("a1"));
}

TEST(returning, aDrainingAgentOffersNewFlowsToOthersAtOnceAndKeepsItsOwn)
{
    const packets::ip_summary opening = directed(true);
    give(packetFor(opening, packet_stage::toDirector));
    hearOthers();
    serve(false);
    const packets::ip_summary other {base::flow_key {base::endpoint {1, 1}, address, 6}, true};
    give(packetFor(other, packet_stage::toDirector));
    CHECK(all<deliver_to_server>().empty());
    CHECK(all<send_packet>().front().packet.stage == packet_stage::offer);
    give(packetFor(summaryOf(opening.key.caller.port, false, 10), packet_stage::toOwner));
    CHECK_EQUAL(1U, all<deliver_to_server>().size());
}

TEST(returning, whenNobodyTakesAFlowItsCallerHearsAtOnce)
{
    serve(false);
    give(packetFor(directed(true), packet_stage::toDirector));
    CHECK(all<reset_caller>().front().reason == base::error_code::noServer);
}

TEST(returning, anOpeningPacketThatTheServerGivesBackGoesToAnother)
{
    hearOthers();
    const packets::ip_summary opening = directed(true);
    give(packetFor(opening, packet_stage::offer, {nodeOf("a2")}));
    CHECK_EQUAL(1U, all<deliver_to_server>().size());
    answer(returned(opening));
    const send_packet next = all<send_packet>().front();
    CHECK(next.packet.stage == packet_stage::offer);
    CHECK(next.to == agentNamed("a3", 3).packets);
    CHECK(next.packet.entry == entry);
}

TEST(returning, aServerThatLeavesAnOpeningPacketUnansweredIsPassedOver)
{
    hearOthers();
    give(packetFor(directed(true), packet_stage::toDirector));
    now += 200;
    hearOthers();
    give(tick {});
    CHECK_EQUAL(1U, all<send_packet>().size());
    give(packetFor(packets::ip_summary {base::flow_key {base::endpoint {1, 2}, address, 6}, true},
                   packet_stage::toDirector));
    CHECK(all<deliver_to_server>().empty());
}

// A server that starts gives everything back. Its agent must not hand it the same packet again and
// again when no other agent takes the flow either.
TEST(returning, anOpeningPacketThatNobodyTakesIsNotOpenedTwiceAtOneServer)
{
    const packets::ip_summary opening = directed(true);
    give(packetFor(opening, packet_stage::offer,
                   {nodeOf("a4"), nodeOf("a5"), nodeOf("a2"), nodeOf("a3")}));
    CHECK_EQUAL(1U, all<deliver_to_server>().size());
    answer(returned(opening));
    CHECK(all<deliver_to_server>().empty());
    CHECK_EQUAL(1U, all<reset_caller>().size());
}

TEST(returning, aServerThatGaveAFlowBackGetsNoOtherAtTheSameMoment)
{
    hearOthers();
    const packets::ip_summary opening = directed(true);
    give(packetFor(opening, packet_stage::toDirector));
    answer(returned(opening));
    const packets::ip_summary other {base::flow_key {base::endpoint {1, 2}, address, 6}, true};
    give(packetFor(other, packet_stage::toDirector));
    CHECK(all<deliver_to_server>().empty());
    now += 150;
    give(packetFor(packets::ip_summary {base::flow_key {base::endpoint {1, 3}, address, 6}, true},
                   packet_stage::toDirector));
    CHECK_EQUAL(1U, all<deliver_to_server>().size());
}

// Every flow that is opened at a dead server waits in vain, so that few may find out.
TEST(returning, aServerThatWasSilentIsTriedByOneFlowAtATime)
{
    hearOthers();
    give(packetFor(directed(true), packet_stage::toDirector));
    now += 200;
    give(tick {});
    now += 1000;
    hearOthers();
    const packets::ip_summary second {base::flow_key {base::endpoint {1, 2}, address, 6}, true};
    give(packetFor(second, packet_stage::toDirector));
    CHECK_EQUAL(1U, all<deliver_to_server>().size());
    const packets::ip_summary third {base::flow_key {base::endpoint {1, 3}, address, 6}, true};
    give(packetFor(third, packet_stage::toDirector));
    CHECK(all<deliver_to_server>().empty());
    // The server is back.
    answer(packets::ip_summary {second.key});
    const packets::ip_summary fourth {base::flow_key {base::endpoint {1, 4}, address, 6}, true};
    give(packetFor(fourth, packet_stage::offer, {nodeOf("a2"), nodeOf("a3")}));
    CHECK_EQUAL(1U, all<deliver_to_server>().size());
}

TEST(returning, aFlowThatAllOthersDenyIsUnknownForCertain)
{
    const packets::ip_summary data = directed(false, 10);
    give(packetFor(data, packet_stage::toDirector));
    CHECK_EQUAL(2U, said<flow_lookup>().size());
    answerLookups(data.key, {"a2", "a3"}, lookup_verdict::unknown);
    const send_packet told = all<send_packet>().front();
    CHECK(told.to == entry);
    CHECK(told.packet.stage == packet_stage::unknown);
    CHECK_FALSE(told.packet.isDoubtful);
}

TEST(returning, aFlowOfAnAgentThatCanNotBeAskedIsNeverGivenUpForCertain)
{
    const packets::ip_summary data = directed(false, 10);
    give(packetFor(data, packet_stage::toDirector));
    answerLookups(data.key, {"a2"}, lookup_verdict::unknown);
    now += 2500;
    give(tick {});
    CHECK(all<reset_caller>().empty());
    CHECK(all<send_packet>().front().packet.isDoubtful);
}

TEST(returning, serversOlderThanTheirAgentsAreTriedOneAfterTheOther)
{
    const packets::ip_summary data = directed(false, 10);
    give(packetFor(data, packet_stage::toDirector));
    answerLookups(data.key, {"a2", "a3"}, lookup_verdict::mayOwn);
    const send_packet first = all<send_packet>().front();
    CHECK(first.packet.stage == packet_stage::trial);
    CHECK_EQUAL(1U, first.packet.agents.size());
    // At the other end: the server gives it back, and the next one is tried.
    give(packetFor(data, packet_stage::trial, {nodeOf("a3")}));
    CHECK_EQUAL(1U, all<deliver_to_server>().size());
    answer(returned(data));
    CHECK(all<send_packet>().front().to == agentNamed("a3", 3).packets);
    // The last one on the list tells the entry.
    give(packetFor(data, packet_stage::trial));
    answer(returned(data));
    CHECK(all<send_packet>().front().packet.stage == packet_stage::unknown);
}

TEST(returning, aRestartedAgentFindsAFlowByTryingItAtItsServer)
{
    const packets::ip_summary data = summaryOf(9, false, 10);
    give(packetFor(data, packet_stage::trial));
    answer(summaryOf(9, false, 200));
    CHECK_EQUAL(1U, all<answer_caller>().size());
    CHECK_EQUAL(1U, said<owner_hint>().size());
    give(packetFor(data, packet_stage::toOwner));
    CHECK_EQUAL(1U, all<deliver_to_server>().size());
}

TEST(returning, aFlowThatItsServerServedAndGivesBackIsOver)
{
    const packets::ip_summary opening = directed(true);
    give(packetFor(opening, packet_stage::toDirector));
    const packets::ip_summary data = summaryOf(opening.key.caller.port, false, 10);
    give(packetFor(data, packet_stage::toOwner));
    answer(summaryOf(opening.key.caller.port, false, 200));
    // The server has crashed and started again.
    give(packetFor(data, packet_stage::toOwner));
    answer(returned(data));
    CHECK(all<reset_caller>().front().reason == base::error_code::flowUnknown);
}

// Two servers answered copies of one opening packet; the caller chose the other one.
TEST(returning, aFlowThatWasOnlyOfferedHereIsLookedForAndNotReset)
{
    const packets::ip_summary opening = directed(true);
    give(packetFor(opening, packet_stage::toDirector));
    answer(summaryOf(opening.key.caller.port, false));
    const packets::ip_summary data = summaryOf(opening.key.caller.port, false, 10);
    give(packetFor(data, packet_stage::toOwner));
    answer(returned(data));
    CHECK(all<reset_caller>().empty());
    CHECK_EQUAL(2U, said<flow_lookup>().size());
}

TEST(returning, aPacketForAnotherServiceIsTriedAndSentBackToTheEntry)
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
    give(foreign);
    answer(returned(data));
    const send_packet back = all<send_packet>().front();
    CHECK(back.to == entry);
    CHECK(back.packet.stage == packet_stage::unknown);
    // An opening packet for another service never reaches the server.
    give(forwarded_packet {base::serviceIdOf("inspect"), base::incarnation(1), base::generation(1),
                           packet_stage::toOwner, 0, summaryOf(6, true),
                           base::packet_bytes("packet"), entry});
    CHECK(all<deliver_to_server>().empty());
}

TEST(returning, requestsAtTheServerAreCountedUntilTheirAnswersBegin)
{
    const packets::ip_summary opening = directed(true);
    const std::uint16_t port = opening.key.caller.port;
    give(packetFor(opening, packet_stage::toDirector));
    CHECK_EQUAL(0U, state->busyFlows);
    give(packetFor(summaryOf(port, false, 100), packet_stage::toOwner));
    give(packetFor(summaryOf(port, false, 100), packet_stage::toOwner));
    CHECK_EQUAL(1U, state->busyFlows);
    CHECK_EQUAL(1U, state->placement->ownLoad->slots.busy);
    answer(summaryOf(port, false, 500));
    CHECK_EQUAL(0U, state->busyFlows);
    // The first packet once more: its caller has not heard yet that it came.
    give(packetFor(summaryOf(port, false, 100), packet_stage::toOwner));
    CHECK_EQUAL(0U, state->busyFlows);
    const base::flow_key key = opening.key;
    give(packetFor(packets::ip_summary {key, false, false, false, 100, false, false, 100},
                   packet_stage::toOwner));
    CHECK_EQUAL(1U, state->busyFlows);
    answer(returned(summaryOf(port, false, 100)));
    CHECK_EQUAL(0U, state->busyFlows);
}

TEST(returning, beforeTheFirstViewNothingIsRefusedForCertain)
{
    const membership::member self = agentNamed("a1", 1);
    state = std::make_unique<flow_state>(
        agent_identity {self.id(), logbook, self.life, self.packets, "zone-1", true});
    std::size_t told = 0;
    const std::uint16_t flows = base::early_packets<forwarded_packet>::maxPackets + 10;
    for (std::uint16_t port = 1; port <= flows; ++port) {
        give(packetFor(summaryOf(port, false, 10), packet_stage::toDirector));
        CHECK(all<reset_caller>().empty());
        // Those for which there is no room to wait.
        for (const send_packet &send : all<send_packet>()) {
            CHECK(send.packet.isDoubtful);
            ++told;
        }
    }
    LONGS_EQUAL(10, told);
    give(packetFor(summaryOf(6, true), packet_stage::toDirector));
    CHECK(all<reset_caller>().empty());
}

// After a restart of every process, a packet of an open flow may come before the first view. Its
// caller repeats it only after more than a second.
TEST(returning, aPacketOfAnOpenFlowWaitsForTheFirstView)
{
    const dissemination::shared_view view = state->view;
    const membership::member self = agentNamed("a1", 1);
    state = std::make_unique<flow_state>(
        agent_identity {self.id(), logbook, self.life, self.packets, "zone-1", true});
    serve(true, true);
    const packets::ip_summary summary = summaryOf(77, false, 100);
    give(packetFor(summary, packet_stage::toDirector));
    LONGS_EQUAL(0, all<send_packet>().size());
    now += 300;
    give(view_update {view});
    const std::vector<flow_lookup> asked = said<flow_lookup>();
    const std::vector<send_packet> passed = all<send_packet>();
    CHECK(asked.size() + passed.size() > 0);
    CHECK(state->earlyPackets.isEmpty());
}

TEST(returning, aPacketThatWaitedTooLongForAViewIsLeftToItsCaller)
{
    const dissemination::shared_view view = state->view;
    const membership::member self = agentNamed("a1", 1);
    state = std::make_unique<flow_state>(
        agent_identity {self.id(), logbook, self.life, self.packets, "zone-1", true});
    serve(true, true);
    give(packetFor(summaryOf(77, false, 100), packet_stage::toDirector));
    now += 5000;
    give(view_update {view});
    LONGS_EQUAL(0, said<flow_lookup>().size());
    LONGS_EQUAL(0, all<send_packet>().size());
}
