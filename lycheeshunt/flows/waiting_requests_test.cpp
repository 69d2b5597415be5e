// Requests that wait for a slot: a burst in the order of arrival, overload with the newest first.

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

    std::uint32_t nextFlow(std::int64_t now)
    {
        return waiting.takeNext(at(now))->key().caller.address - 0x64400000;
    }
};

TEST(waiting_requests, aBurstIsServedInTheOrderOfArrival)
{
    for (std::uint32_t flow = 1; flow <= 3; ++flow)
        waiting.add(packetOf(flow), at(flow));
    LONGS_EQUAL(1, nextFlow(50));
    LONGS_EQUAL(2, nextFlow(50));
    LONGS_EQUAL(3, nextFlow(50));
    CHECK_FALSE(waiting.takeNext(at(50)).has_value());
}

TEST(waiting_requests, onceTheOldestHasWaitedLongTheNewestGoesFirst)
{
    for (std::uint32_t flow = 1; flow <= 3; ++flow)
        waiting.add(packetOf(flow), at(flow));
    LONGS_EQUAL(3, nextFlow(200));
    LONGS_EQUAL(2, nextFlow(200));
    LONGS_EQUAL(1, nextFlow(200));
}

TEST(waiting_requests, packetsOfARequestStayInOrderAndEachIsKeptOnce)
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
    std::size_t kept = 0;
    for (std::uint32_t flow = 0; flow < 2000; ++flow)
        kept += waiting.add(packetOf(flow), at(0)) ? 1 : 0;
    LONGS_EQUAL(waiting_requests::maxPackets, kept);
    waiting.erase(packetOf(7).summary.key);
    CHECK(waiting.add(packetOf(5000), at(1)));
}

// A caller that still waits repeats its packet.
TEST(waiting_requests, aRequestWhoseCallerIsGoneIsDropped)
{
    waiting.add(packetOf(1), at(0));
    waiting.add(packetOf(2), at(0));
    waiting.add(packetOf(2), at(1400));
    LONGS_EQUAL(1, waiting.takeAbandoned(at(1800)).size());
    LONGS_EQUAL(2, nextFlow(1800));
}

// Overload of a herd that returns after an outage: twice what the server can do, for two seconds.
// In the order of arrival everybody but the first would be late.
TEST(waiting_requests, underOverloadAsManyAreInTimeAsTheServerCanDo)
{
    constexpr std::int64_t serviceMillis = 10;
    constexpr std::int64_t arrivalMillis = 5;
    constexpr std::int64_t lengthMillis = 2000;
    constexpr std::int64_t objectiveMillis = 250;
    std::int64_t inTime = 0;
    std::int64_t inTimeByArrival = 0;
    std::deque<std::int64_t> byArrival;
    for (std::int64_t now = 0; now < lengthMillis; ++now) {
        if (now % arrivalMillis == 0) {
            waiting.add(packetOf(static_cast<std::uint32_t>(now)), at(now));
            byArrival.push_back(now);
        }
        if (now % serviceMillis != 0)
            continue;
        const waiting_request next = *waiting.takeNext(at(now));
        inTime += now + serviceMillis - next.since.millis() <= objectiveMillis ? 1 : 0;
        inTimeByArrival += now + serviceMillis - byArrival.front() <= objectiveMillis ? 1 : 0;
        byArrival.pop_front();
    }
    const std::int64_t possible = lengthMillis / serviceMillis;
    CHECK(inTime >= possible * 9 / 10);
    CHECK(inTimeByArrival <= possible / 3);
}
