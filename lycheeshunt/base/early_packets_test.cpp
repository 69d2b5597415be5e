#include "lycheeshunt/base/early_packets.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;

namespace {

base::flow_key flowOf(std::uint16_t port)
{
    return base::flow_key {base::endpoint {0x0a000001, port}, base::endpoint {0xc0000201, 443}};
}

} // namespace

TEST_GROUP(early_packets)
{
    const base::clock_time start = base::clock_time::ofSeconds(10);
    base::early_packets<std::string> early;
};

TEST(early_packets, packetsOfOneFlowAreReturnedInOrder)
{
    early.put(flowOf(1), "first", start);
    early.put(flowOf(1), "second", start);
    const std::vector<std::string> taken = early.take(start);
    CHECK(taken == std::vector<std::string>({"first", "second"}));
    CHECK(early.isEmpty());
}

TEST(early_packets, aRetransmittedPacketIsStoredOnce)
{
    early.put(flowOf(1), "data", start);
    early.put(flowOf(1), "data", start + base::clock_time::ofMillis(200));
    LONGS_EQUAL(1, early.take(start).size());
}

// By then the caller has retransmitted the packet or closed the flow.
TEST(early_packets, anExpiredPacketIsDropped)
{
    early.put(flowOf(1), "old", start);
    early.put(flowOf(2), "new", start + base::early_packets<std::string>::keptFor);
    const std::vector<std::string> taken
        = early.take(start + base::early_packets<std::string>::keptFor);
    CHECK(taken == std::vector<std::string>({"new"}));
}

TEST(early_packets, theTableIsBounded)
{
    std::size_t stored = 0;
    for (std::uint16_t port = 0; port < 2000; ++port)
        stored += early.put(flowOf(port), "data", start) ? 1 : 0;
    LONGS_EQUAL(base::early_packets<std::string>::maxPackets, stored);
    LONGS_EQUAL(stored, early.take(start).size());
}

TEST(early_packets, oneFlowCannotFillTheTable)
{
    std::size_t stored = 0;
    for (int i = 0; i < 100; ++i)
        stored += early.put(flowOf(1), std::to_string(i), start) ? 1 : 0;
    LONGS_EQUAL(base::early_packets<std::string>::maxPacketsOfFlow, stored);
    CHECK(early.put(flowOf(2), "other", start));
}

// Expired packets are evicted to make room for new ones.
TEST(early_packets, expiredPacketsMakeRoomForNewOnes)
{
    for (std::uint16_t port = 0; port < 2000; ++port)
        early.put(flowOf(port), "data", start);
    CHECK(early.put(flowOf(3000), "data", start + base::early_packets<std::string>::keptFor));
}
