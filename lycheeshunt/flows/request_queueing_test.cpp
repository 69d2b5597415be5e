// Requests that wait at their agent for a slot of the backend server.

#include "lycheeshunt/flows/returning_agent_test.h"

using namespace lycheeshunt;
using namespace lycheeshunt::flows;
using namespace lycheeshunt::flows::testing;

TEST_GROUP_BASE(pacing, returning_agent) {
    // The caller that opens flow number `i`, counted from 0.
    base::flow_key keyOf(std::uint32_t i) const {
        return base::flow_key {base::endpoint {1, static_cast<std::uint16_t>(i + 1)}, address, 6};
}

packets::ip_summary requestOf(std::uint32_t i) const
{
    return packets::ip_summary {keyOf(i), false, false, false, 100};
}

// Opens so many flows here, each with one request. The server answers opening packets only.
void open(std::uint32_t count)
{
    hearOthers();
    for (std::uint32_t i = 0; i < count; ++i) {
        give(packetFor(packets::ip_summary {keyOf(i), true}, packet_stage::offer,
                       {nodeOf("a2"), nodeOf("a3")}));
        answer(packets::ip_summary {keyOf(i)});
        give(packetFor(requestOf(i), packet_stage::toOwner));
    }
}
}
;

// Queueing in front of the server instead of in it, so that a request can be put before another.
TEST(pacing, requestsBeyondTheSlotsWaitForAnAnswer)
{
    open(slots + 4);
    LONGS_EQUAL(slots + 2, state->busyFlows);
    LONGS_EQUAL(2, state->waiting.size());
    // An acknowledgement is no request.
    give(packetFor(packets::ip_summary {keyOf(slots + 3)}, packet_stage::toOwner));
    LONGS_EQUAL(1, all<deliver_to_server>().size());
    answer(packets::ip_summary {keyOf(0), false, false, false, 500});
    LONGS_EQUAL(1, all<deliver_to_server>().size());
    LONGS_EQUAL(1, state->waiting.size());
    LONGS_EQUAL(slots + 2, state->busyFlows);
}

// Under overload every caller repeats its request before it is answered. Were the copies taken for
// requests, they would hold slots that nothing frees.
TEST(pacing, aRepeatedRequestTakesNoSlot)
{
    open(slots + 3);
    const packets::ip_summary request = requestOf(slots + 2);
    give(packetFor(request, packet_stage::toOwner));
    LONGS_EQUAL(1, state->waiting.size());
    for (std::uint32_t i = 0; i < slots + 3; ++i)
        answer(packets::ip_summary {keyOf(i), false, false, false, 500});
    LONGS_EQUAL(0, state->busyFlows);
    give(packetFor(request, packet_stage::toOwner));
    LONGS_EQUAL(1, all<deliver_to_server>().size());
    LONGS_EQUAL(0, state->busyFlows);
}

TEST(pacing, aCallerThatGivesUpTakesItsRequestOutOfTheQueue)
{
    open(slots + 3);
    LONGS_EQUAL(1, state->waiting.size());
    give(packetFor(packets::ip_summary {keyOf(slots + 2), false, true}, packet_stage::toOwner));
    LONGS_EQUAL(0, state->waiting.size());
}

// A slot is not lost to a request that will never be answered.
TEST(pacing, aRequestWithoutAnAnswerGivesItsSlotUp)
{
    open(slots + 3);
    now += 1500;
    give(packetFor(requestOf(slots + 2), packet_stage::toOwner));
    LONGS_EQUAL(1, state->waiting.size());
    now += 600;
    give(tick {});
    LONGS_EQUAL(0, state->waiting.size());
    LONGS_EQUAL(1, state->busyFlows);
}

TEST(pacing, aRequestWhoseCallerIsSilentIsDroppedWithALineInTheLog)
{
    open(slots + 3);
    now += 1800;
    give(tick {});
    LONGS_EQUAL(0, state->waiting.size());
    std::size_t noted = 0;
    for (const flow_event &event : all<flow_event>())
        noted += event.kind == flow_event_kind::abandoned ? 1 : 0;
    LONGS_EQUAL(1, noted);
}

// A packet that is only tried at a server must not wait for one of its slots, nor be lost there.
TEST(pacing, aPacketThatTriesAFullServerDoesNotWait)
{
    open(slots + 2);
    LONGS_EQUAL(slots + 2, state->busyFlows);
    const packets::ip_summary foreign = summaryOf(500, false, 100);
    give(packetFor(foreign, packet_stage::trial, {nodeOf("a2")}));
    LONGS_EQUAL(1, all<deliver_to_server>().size());
    answer(returned(foreign));
    CHECK(all<send_packet>().front().packet.stage == packet_stage::trial);
}

// A flow whose first request waits is as open as any other: it must not be given up after the short
// time that a flow gets whose caller never came back.
TEST(pacing, aFlowWhoseFirstRequestWaitsIsOpen)
{
    open(slots + 3);
    const base::flow_key last = keyOf(slots + 2);
    CHECK(state->waiting.holds(last));
    answer(packets::ip_summary {keyOf(0), false, false, false, 500});
    CHECK_FALSE(state->waiting.holds(last));
    // Longer than an unanswered flow is kept, and a whole round of the table.
    for (int i = 0; i < 120; ++i) {
        now += 100;
        give(tick {});
    }
    give(peer_message(flow_lookup {logbook, last, routing::target {nodeOf("a2"), {}, {}},
                                   base::generation(1), false}));
    const std::vector<lookup_answer> answers = said<lookup_answer>();
    CHECK_EQUAL(1U, answers.size());
    CHECK(answers.front().verdict == lookup_verdict::owned);
}
