// Requests that are queued at their agent until the backend server has a free slot.

#include "lycheeshunt/flows/agent_fixture_test.h"

using namespace lycheeshunt;
using namespace lycheeshunt::flows;
using namespace lycheeshunt::flows::testing;

TEST_GROUP_BASE(request_queueing, agent_fixture) {
    // Key of flow number `i`, counted from 0.
    base::flow_key keyOf(std::uint32_t i) const {
        return base::flow_key {base::endpoint {1, static_cast<std::uint16_t>(i + 1)}, address, 6};
}

packets::ip_summary requestOf(std::uint32_t i) const
{
    return packets::ip_summary {keyOf(i), false, false, false, 100};
}

// Opens `count` flows here, each with one request. The server answers only their opening packets.
void openFlows(std::uint32_t count)
{
    receivePeerReports();
    for (std::uint32_t i = 0; i < count; ++i) {
        apply(packetFor(packets::ip_summary {keyOf(i), true}, packet_stage::offer,
                        {nodeOf("a2"), nodeOf("a3")}));
        receiveFromServer(packets::ip_summary {keyOf(i)});
        apply(packetFor(requestOf(i), packet_stage::toOwner));
    }
}
}
;

// Requests are queued in front of the server and not in it, so that the agent can reorder them.
TEST(request_queueing, requestsBeyondTheSlotsWaitForAnAnswer)
{
    openFlows(slots + 4);
    LONGS_EQUAL(slots + 2, state->busyFlows);
    LONGS_EQUAL(2, state->waiting.size());
    // An acknowledgement is no request.
    apply(packetFor(packets::ip_summary {keyOf(slots + 3)}, packet_stage::toOwner));
    LONGS_EQUAL(1, actionsOf<deliver_to_server>().size());
    receiveFromServer(packets::ip_summary {keyOf(0), false, false, false, 500});
    LONGS_EQUAL(1, actionsOf<deliver_to_server>().size());
    LONGS_EQUAL(1, state->waiting.size());
    LONGS_EQUAL(slots + 2, state->busyFlows);
}

// Under overload every caller retransmits its request before it is answered. If retransmissions
// counted as requests, they would occupy slots that no answer frees.
TEST(request_queueing, aRetransmittedRequestTakesNoSlot)
{
    openFlows(slots + 3);
    const packets::ip_summary request = requestOf(slots + 2);
    apply(packetFor(request, packet_stage::toOwner));
    LONGS_EQUAL(1, state->waiting.size());
    for (std::uint32_t i = 0; i < slots + 3; ++i)
        receiveFromServer(packets::ip_summary {keyOf(i), false, false, false, 500});
    LONGS_EQUAL(0, state->busyFlows);
    apply(packetFor(request, packet_stage::toOwner));
    LONGS_EQUAL(1, actionsOf<deliver_to_server>().size());
    LONGS_EQUAL(0, state->busyFlows);
}

TEST(request_queueing, aRequestWhoseCallerClosesTheFlowIsRemoved)
{
    openFlows(slots + 3);
    LONGS_EQUAL(1, state->waiting.size());
    apply(packetFor(packets::ip_summary {keyOf(slots + 2), false, true}, packet_stage::toOwner));
    LONGS_EQUAL(0, state->waiting.size());
}

// A request that is never answered must not occupy its slot for ever.
TEST(request_queueing, aRequestThatTimesOutFreesItsSlot)
{
    openFlows(slots + 3);
    now += 1500;
    apply(packetFor(requestOf(slots + 2), packet_stage::toOwner));
    LONGS_EQUAL(1, state->waiting.size());
    now += 600;
    apply(tick {});
    LONGS_EQUAL(0, state->waiting.size());
    LONGS_EQUAL(1, state->busyFlows);
}

// Guards against a server that gets no new flows although it is idle: its agent reports slots that
// are held by requests whose callers have disappeared, and no further request shows up to wait.
TEST(request_queueing, slotsHeldByUnansweredRequestsAreFreedAlsoWhenNoneWaits)
{
    openFlows(slots);
    LONGS_EQUAL(slots, state->placement->ownLoad->slots.busy);
    now += 1900;
    apply(tick {});
    LONGS_EQUAL(slots, state->placement->ownLoad->slots.busy);
    now += 100;
    apply(tick {});
    LONGS_EQUAL(0, state->placement->ownLoad->slots.busy);
}

TEST(request_queueing, aRequestWhoseCallerIsSilentIsDroppedAndLogged)
{
    openFlows(slots + 3);
    now += 1800;
    apply(tick {});
    LONGS_EQUAL(0, state->waiting.size());
    std::size_t logged = 0;
    for (const flow_event &event : actionsOf<flow_event>())
        logged += event.kind == flow_event_kind::abandoned ? 1 : 0;
    LONGS_EQUAL(1, logged);
}

// A packet that only probes whether the server holds its flow must not wait for a slot or be lost
// in the queue.
TEST(request_queueing, aTrialPacketForAFullServerIsNotQueued)
{
    openFlows(slots + 2);
    LONGS_EQUAL(slots + 2, state->busyFlows);
    const packets::ip_summary foreign = summaryOf(500, false, 100);
    apply(packetFor(foreign, packet_stage::trial, {nodeOf("a2")}));
    LONGS_EQUAL(1, actionsOf<deliver_to_server>().size());
    receiveFromServer(returnedSummary(foreign));
    CHECK(actionsOf<send_packet>().front().packet.stage == packet_stage::trial);
}

// A flow whose first request is queued counts as open. It must not expire after the shorter timeout
// for flows whose caller has sent nothing after the opening packet.
TEST(request_queueing, aFlowWhoseFirstRequestIsQueuedIsOpen)
{
    openFlows(slots + 3);
    const base::flow_key last = keyOf(slots + 2);
    CHECK(state->waiting.contains(last));
    receiveFromServer(packets::ip_summary {keyOf(0), false, false, false, 500});
    CHECK_FALSE(state->waiting.contains(last));
    // Longer than the timeout of an unanswered flow and a full pass over the flow table.
    for (int i = 0; i < 120; ++i) {
        now += 100;
        apply(tick {});
    }
    apply(peer_message(flow_lookup {logbook, last, routing::target {nodeOf("a2"), {}, {}},
                                    base::generation(1), false}));
    const std::vector<lookup_answer> answers = sentMessages<lookup_answer>();
    CHECK_EQUAL(1U, answers.size());
    CHECK(answers.front().verdict == lookup_verdict::owned);
}

// Without the setting, and for a server that has just started, nothing is known of its speed.
TEST(request_queueing, theTimeOfTheServerIsReportedWhereItIsConfigured)
{
    for (const bool isConfigured : {false, true}) {
        reportsSpeed = isConfigured;
        setup();
        openFlows(slots + 2);
        now += 20;
        for (std::uint32_t i = 0; i < slots + 2; ++i)
            receiveFromServer(packets::ip_summary {keyOf(i), false, false, false, 500});
        UNSIGNED_LONGS_EQUAL(isConfigured ? 20 : 0, state->placement->ownLoad->serviceMillis);
        apply(server_changed {base::incarnation(2), true, slots, false});
        UNSIGNED_LONGS_EQUAL(0, state->placement->ownLoad->serviceMillis);
    }
}
