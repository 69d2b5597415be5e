// Flows that an agent tries at its server: they are claimed once the server is known to have them.

#include "lycheeshunt/flows/agent_fixture_test.h"

using namespace lycheeshunt;
using namespace lycheeshunt::flows;
using namespace lycheeshunt::flows::testing;

TEST_GROUP_BASE(tried_flows, agent_fixture) {};

// Guards against packets of an open flow that go to another server because that server's agent
// claims a flow which it only tries.
TEST(tried_flows, aFlowIsClaimedOnceTheServerHasAnsweredOnIt)
{
    const packets::ip_summary data = summaryForOwnBucket(false, 10);
    const auto verdict = [&]() {
        apply(peer_message(flow_lookup {
            logbook, data.key,
            routing::target {nodeOf("a2"), base::incarnation(1), agentNamed("a2", 2).packets},
            base::generation(1), false}));
        return sentMessages<lookup_answer>().front().verdict;
    };
    apply(packetFor(data, packet_stage::toOwner, {}, 1));
    CHECK(sentMessages<registration_batch>().empty());
    CHECK(sentMessages<owner_hint>().empty());
    CHECK(verdict() == lookup_verdict::mayOwn);
    receiveFromServer(summaryOf(data.key.caller.port, false, 200));
    CHECK_EQUAL(1U, sentMessages<owner_hint>().size());
    CHECK(verdict() == lookup_verdict::owned);
}

// Guards against a flow that is found only again and again because its server accepts packets that
// need no answer.
TEST(tried_flows, aFlowIsClaimedWhenTheServerHasKeptItsPacket)
{
    const packets::ip_summary data = summaryForOwnBucket(false);
    apply(packetFor(data, packet_stage::trial));
    now += 50;
    receiveFromServer(summaryOf(5, false, 200));
    apply(tick {});
    CHECK(sentMessages<owner_hint>().empty());
    now += 100;
    receiveFromServer(summaryOf(5, false, 200));
    apply(tick {});
    CHECK_EQUAL(1U, sentMessages<owner_hint>().size());
}

// Guards against a server that gets no work because packets which were only tried there count as
// requests.
TEST(tried_flows, aTriedPacketWithPayloadIsNoRequest)
{
    const packets::ip_summary data = summaryForOwnBucket(false, 10);
    apply(packetFor(data, packet_stage::trial));
    LONGS_EQUAL(1, actionsOf<deliver_to_server>().size());
    LONGS_EQUAL(0, state->busyFlows);
    receiveFromServer(returnedSummary(data));
    LONGS_EQUAL(0, state->busyFlows);
}

// Guards against a server that gets more requests than it has slots: it has kept the packet that
// was tried, and so works on its request.
TEST(tried_flows, aKeptPacketWithPayloadIsARequest)
{
    const packets::ip_summary data = summaryForOwnBucket(false, 10);
    apply(packetFor(data, packet_stage::trial));
    now += 150;
    receiveFromServer(summaryOf(5, false, 200));
    apply(tick {});
    LONGS_EQUAL(1, state->busyFlows);
    receiveFromServer(summaryOf(data.key.caller.port, false, 200));
    LONGS_EQUAL(0, state->busyFlows);
}

// Guards against flows that stay until they are idle because the caller finished while its flow was
// tried.
TEST(tried_flows, aFlowWhoseCallerFinishedWhileItWasTriedEndsWithTheServer)
{
    const packets::ip_summary data = summaryForOwnBucket(false, 10);
    const packets::ip_summary last {data.key, false, true, false, 0};
    apply(packetFor(data, packet_stage::trial));
    apply(packetFor(last, packet_stage::trial));
    receiveFromServer(summaryOf(data.key.caller.port, false, 200));
    CHECK(state->owned.find(data.key)->phase == flow_phase::callerFinished);
    receiveFromServer(packets::ip_summary {data.key, false, true, false, 0});
    CHECK(state->owned.find(data.key)->phase == flow_phase::ended);
}

// Guards against packets of an open flow that go round between a server that returns them and a
// director whose entry names that server's agent.
TEST(tried_flows, aReturnedPacketIsNotDeliveredAgainBecauseADirectorNamesThisAgent)
{
    const packets::ip_summary data = summaryForOwnBucket(false, 10);
    apply(packetFor(data, packet_stage::toOwner, {}, 1));
    receiveFromServer(returnedSummary(data));
    const routing::target self {nodeOf("a1"), base::incarnation(1), agentNamed("a1", 1).packets};
    const routing::target a2 {nodeOf("a2"), base::incarnation(1), agentNamed("a2", 2).packets};
    apply(peer_message(
        lookup_answer {logbook, data.key, a2, base::generation(1), lookup_verdict::owned, self}));
    CHECK(actionsOf<deliver_to_server>().empty());
    answerLookups(data.key, {"a3"}, lookup_verdict::mayOwn);
    // The server beside the director may have the flow, too. The packet comes back in the end.
    const std::vector<base::node_id> both {nodeOf("a2"), nodeOf("a3")};
    const send_packet sent = actionsOf<send_packet>().front();
    const bool isFirstA2 = sent.to == a2.packets;
    CHECK(isFirstA2 || sent.to == agentNamed("a3", 3).packets);
    CHECK(sent.packet.agents
          == (std::vector<base::node_id> {both[isFirstA2 ? 1 : 0], nodeOf("a1")}));
}

// Guards against a second server that opens a flow, or a reset of it, when its opening packet
// arrives late at an agent that tries the flow.
TEST(tried_flows, aLateOpeningPacketOfATriedFlowIsNotDelivered)
{
    const packets::ip_summary data = summaryForOwnBucket(false, 10);
    apply(packetFor(data, packet_stage::trial, {nodeOf("a2")}));
    apply(packetFor(summaryOf(data.key.caller.port, true), packet_stage::toDirector));
    CHECK(actionsOf<deliver_to_server>().empty());
    CHECK(actionsOf<reset_caller>().empty());
    receiveFromServer(returnedSummary(data));
    CHECK(actionsOf<send_packet>().front().packet.stage == packet_stage::trial);
}

// Guards against agents that search for no flow any more, so that packets of open flows are
// dropped: a trial that ended while another search of its flow ran replaced that search, whose
// packets and bytes stayed in the count that bounds all searches.
TEST(tried_flows, aTrialThatEndsDuringAnotherSearchOfItsFlowKeepsTheSearch)
{
    const packets::ip_summary data = summaryForOwnBucket(false, 10);
    apply(packetFor(data, packet_stage::toDirector));
    answerLookups(data.key, {"a2", "a3"}, lookup_verdict::mayOwn);
    CHECK(actionsOf<send_packet>().front().packet.stage == packet_stage::trial);
    now += 700;
    apply(packetFor(data, packet_stage::toDirector));
    LONGS_EQUAL(1, state->lookups.size());
    apply(packetFor(data, packet_stage::trial));
    LONGS_EQUAL(1, state->lookups.size());
    LONGS_EQUAL(2, state->lookups.find(data.key)->packets.size());
    for (int i = 0; i < 50; ++i) {
        now += 100;
        apply(tick {});
    }
    LONGS_EQUAL(0, state->lookups.size());
    LONGS_EQUAL(0, state->lookupBytes);
}
