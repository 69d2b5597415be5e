// The queue of requests that wait for a slot: first in, first out for a burst; last in, first out
// under overload.

#include "lycheeshunt/flows/waiting_requests.h"

#include <deque>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using namespace lycheeshunt::flows;

namespace {

forwarded_packet packetOf(std::uint32_t flow, const std::string &bytes = "request")
{
    const base::flow_key key {base::endpoint {0x64400000 + flow, 40001},
                              base::endpoint {0xc6120001, 443}, 6};
    return forwarded_packet {base::service_id(),
                             base::incarnation(1),
                             base::generation(1),
                             packet_stage::toOwner,
                             0,
                             packets::ip_summary {key, false, false, false, 100},
                             base::packet_bytes(bytes)};
}

base::clock_time at(std::int64_t millis)
{
    return base::clock_time::ofMillis(millis);
}

} // namespace

TEST_GROUP(waiting_requests)
{
    waiting_requests waiting;

    std::uint32_t takeNextFlow(std::int64_t now)
    {
        return waiting.takeNext(at(now))->key().caller.address - 0x64400000;
    }
};

TEST(waiting_requests, aBurstIsServedInTheOrderOfArrival)
{
    for (std::uint32_t flow = 1; flow <= 3; ++flow)
        waiting.add(packetOf(flow), at(flow));
    LONGS_EQUAL(1, takeNextFlow(50));
    LONGS_EQUAL(2, takeNextFlow(50));
    LONGS_EQUAL(3, takeNextFlow(50));
    CHECK_FALSE(waiting.takeNext(at(50)).has_value());
}

TEST(waiting_requests, onceTheOldestHasWaitedTooLongTheNewestIsServedFirst)
{
    for (std::uint32_t flow = 1; flow <= 3; ++flow)
        waiting.add(packetOf(flow), at(flow));
    LONGS_EQUAL(3, takeNextFlow(200));
    LONGS_EQUAL(2, takeNextFlow(200));
    LONGS_EQUAL(1, takeNextFlow(200));
}

TEST(waiting_requests, packetsOfARequestStayInOrderWithoutRetransmissions)
{
    waiting.add(packetOf(1, "first"), at(0));
    waiting.add(packetOf(1, "second"), at(1));
    waiting.add(packetOf(1, "first"), at(200));
    const waiting_request request = *waiting.takeNext(at(201));
    LONGS_EQUAL(2, request.packets.size());
    CHECK(request.packets.front().bytes.view() == "first");
    CHECK(request.packets.back().bytes.view() == "second");
    CHECK(request.since == at(0));
}

TEST(waiting_requests, theQueueIsBounded)
{
    std::size_t queued = 0;
    for (std::uint32_t flow = 0; flow < 2000; ++flow)
        queued += waiting.add(packetOf(flow), at(0)) ? 1 : 0;
    LONGS_EQUAL(waiting_requests::maxPackets, queued);
    waiting.erase(packetOf(7).summary.key);
    CHECK(waiting.add(packetOf(5000), at(1)));
}

// A caller that still waits retransmits its packet.
TEST(waiting_requests, aRequestOfASilentCallerIsRemoved)
{
    waiting.add(packetOf(1), at(0));
    waiting.add(packetOf(2), at(0));
    waiting.add(packetOf(2), at(1400));
    LONGS_EQUAL(1, waiting.takeAbandoned(at(1800)).size());
    LONGS_EQUAL(2, takeNextFlow(1800));
}

// Callers that reconnect after an outage send twice as many requests as the server can handle, for
// two seconds. First in, first out would answer at most a third of them in time.
TEST(waiting_requests, underOverloadAlmostAllServedRequestsMeetTheObjective)
{
    constexpr std::int64_t serviceMillis = 10;
    constexpr std::int64_t arrivalMillis = 5;
    constexpr std::int64_t lengthMillis = 2000;
    constexpr std::int64_t objectiveMillis = 250;
    std::int64_t inTime = 0;
    std::int64_t inTimeFirstInFirstOut = 0;
    std::deque<std::int64_t> arrivalOrder;
    for (std::int64_t now = 0; now < lengthMillis; ++now) {
        if (now % arrivalMillis == 0) {
            waiting.add(packetOf(static_cast<std::uint32_t>(now)), at(now));
            arrivalOrder.push_back(now);
        }
        if (now % serviceMillis != 0)
            continue;
        const waiting_request next = *waiting.takeNext(at(now));
        inTime += now + serviceMillis - next.since.millis() <= objectiveMillis ? 1 : 0;
        inTimeFirstInFirstOut
            += now + serviceMillis - arrivalOrder.front() <= objectiveMillis ? 1 : 0;
        arrivalOrder.pop_front();
    }
    const std::int64_t possible = lengthMillis / serviceMillis;
    CHECK(inTime >= possible * 9 / 10);
    CHECK(inTimeFirstInFirstOut <= possible / 3);
}
