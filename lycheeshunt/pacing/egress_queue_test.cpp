// Pattern: callers upload over entries whose links are narrow. A caller's window of packets arrives
// within a millisecond, while the link takes one packet in five and queues ten: without pacing, a
// third of each window is lost and small requests with it, and every loss costs a caller 200 ms or
// more.

#include "lycheeshunt/pacing/egress_queue.h"

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using namespace lycheeshunt::pacing;

namespace {

// 2 Mbit/s.
constexpr link_rate narrow {250'000};
constexpr std::size_t uploadPacket = 1270;
constexpr std::size_t smallPacket = 100;
constexpr std::size_t window = 16;
// What such a link queues before it drops.
constexpr double linkQueueBytes = 12'000;

base::clock_time at(std::int64_t millis)
{
    return base::clock_time::ofMillis(millis);
}

packets::ip_summary packetOf(std::uint16_t flow, std::uint32_t sequence, std::uint16_t payload,
                             bool opens = false)
{
    return packets::ip_summary {
        base::flow_key {base::endpoint {0x64400007, flow}, base::endpoint {0xc6120001, 443}, 6},
        opens,
        false,
        false,
        payload,
        false,
        false,
        sequence};
}

struct sent_datagram
{
    const std::uint16_t flow;
    const std::uint32_t sequence;
    const std::int64_t at;
};

} // namespace

TEST_GROUP(egress_queue)
{
    egress_queue queue {narrow};
    std::vector<sent_datagram> sent;
    std::int64_t now = 1000;

    void receive(const packets::ip_summary &packet, std::size_t bytes, std::uint8_t priority = 0)
    {
        if (queue.tryPass(bytes, at(now)))
            sent.push_back({packet.key.caller.port, packet.sequence, now});
        else
            queue.add(queued_datagram {packet, {}, std::string(bytes, 'x'), priority}, at(now));
    }
    void receiveWindow(std::uint16_t flow, std::uint32_t first, std::uint8_t priority = 0)
    {
        for (std::uint32_t i = 0; i < window; ++i)
            receive(packetOf(flow, first + i, 1200), uploadPacket, priority);
    }
    // Sends what may leave in each millisecond until then.
    void run(std::int64_t millis)
    {
        for (const std::int64_t end = now + millis; now < end; ++now) {
            while (const std::optional<queued_datagram> next = queue.takeNext(at(now)))
                sent.push_back({next->summary.key.caller.port, next->summary.sequence, now});
        }
    }
    std::int64_t lastOf(std::uint16_t flow) const
    {
        std::int64_t last = 0;
        for (const sent_datagram &each : sent)
            last = each.flow == flow ? each.at : last;
        return last;
    }
    std::size_t countOf(std::uint16_t flow) const
    {
        return static_cast<std::size_t>(
            std::count_if(sent.begin(), sent.end(),
                          [flow](const sent_datagram &each) { return each.flow == flow; }));
    }
};

TEST(egress_queue, aWindowThatArrivesAtOnceLeavesWithoutOverfillingTheLink)
{
    receiveWindow(1, 100);
    run(200);
    LONGS_EQUAL(window, sent.size());
    double queued = 0;
    std::int64_t last = 1000;
    for (const sent_datagram &each : sent) {
        const double drained = static_cast<double>(each.at - last) * 250;
        queued = std::max(0.0, queued - drained) + uploadPacket + 66;
        CHECK(queued < linkQueueBytes);
        last = each.at;
    }
    // The link is not left idle: 16 packets take it 86 ms.
    CHECK(sent.back().at - 1000 <= 95);
}

TEST(egress_queue, packetsOfAFlowLeaveInTheirOrder)
{
    receiveWindow(1, 100);
    run(200);
    for (std::size_t i = 1; i < sent.size(); ++i)
        CHECK(sent[i - 1].sequence < sent[i].sequence);
}

TEST(egress_queue, aSmallRequestOvertakesUploads)
{
    receiveWindow(1, 100);
    receiveWindow(2, 200);
    receiveWindow(3, 300);
    run(20);
    receive(packetOf(9, 1, 0, true), smallPacket);
    run(15);
    LONGS_EQUAL(1, countOf(9));
}

TEST(egress_queue, aCopyOfAPacketThatWaitsIsDropped)
{
    receiveWindow(1, 100);
    receiveWindow(2, 200);
    receiveWindow(3, 300);
    // The callers send again after 200 ms, before all has left.
    run(200);
    receiveWindow(3, 300);
    run(400);
    CHECK(countOf(1) == window && countOf(2) == window);
    CHECK(countOf(3) >= window && countOf(3) < 2 * window);
}

TEST(egress_queue, acknowledgementsWithOneSequenceAreNoCopies)
{
    receiveWindow(1, 100);
    for (int i = 0; i < 3; ++i)
        LONGS_EQUAL(
            static_cast<int>(queue_outcome::queued),
            static_cast<int>(queue.add(
                queued_datagram {packetOf(9, 7, 0), {}, std::string(smallPacket, 'x')}, at(now))));
}

// Each upload would end at the same late time if all shared the link.
TEST(egress_queue, theUploadThatBeganFirstEndsFirst)
{
    for (std::uint16_t flow = 1; flow <= 4; ++flow) {
        receiveWindow(flow, flow * 100U);
        run(1);
    }
    run(600);
    CHECK(lastOf(1) < lastOf(2) && lastOf(2) < lastOf(3) && lastOf(3) < lastOf(4));
    CHECK(lastOf(1) - 1000 < 120);
}

TEST(egress_queue, aLongTransferDoesNotHoldUpAShortOne)
{
    std::uint32_t sequence = 0;
    for (int i = 0; i < 10; ++i) {
        receiveWindow(1, sequence += window);
        run(100);
    }
    receiveWindow(1, sequence + window);
    receiveWindow(2, 5);
    const std::int64_t began = now;
    run(300);
    CHECK(lastOf(2) - began < 130);
}

TEST(egress_queue, aLongTransferIsNotStarvedByShortOnes)
{
    std::uint32_t sequence = 0;
    for (int i = 0; i < 10; ++i) {
        receiveWindow(1, sequence += window);
        run(100);
    }
    const std::size_t before = countOf(1);
    for (std::uint16_t flow = 2; flow < 20; ++flow) {
        receiveWindow(1, sequence += window);
        receiveWindow(flow, 1);
        run(60);
    }
    CHECK(countOf(1) - before >= 10);
}

TEST(egress_queue, theQueueIsBoundedAndSmallPacketsStillEnter)
{
    for (std::uint16_t flow = 1; flow <= 100; ++flow)
        receiveWindow(flow, 0);
    CHECK(queue.waitingBytes() <= 2 * 500'000);
    receive(packetOf(999, 1, 0, true), smallPacket);
    run(30);
    LONGS_EQUAL(1, countOf(999));
    run(60'000);
    LONGS_EQUAL(0, queue.waitingBytes());
    LONGS_EQUAL(0, queue.waitingDatagrams());
}

// Uploads of two routes meet at a link that takes one of them in time.
TEST(egress_queue, theTransferOfHigherPriorityEndsFirst)
{
    for (std::uint16_t flow = 1; flow <= 3; ++flow)
        receiveWindow(flow, flow * 100U, 2);
    run(20);
    receiveWindow(4, 400, 1);
    const std::int64_t began = now;
    run(500);
    CHECK(lastOf(4) < lastOf(1) && lastOf(1) < lastOf(2) && lastOf(2) < lastOf(3));
    // The link takes 16 packets in 86 ms, and one in eight is of another flow.
    CHECK(lastOf(4) - began <= 120);
    CHECK(countOf(1) == window && countOf(2) == window && countOf(3) == window);
}

// A transfer must not hold up small requests, whatever its priority.
TEST(egress_queue, aSmallRequestOfLowPriorityOvertakesTransfersOfAHigherOne)
{
    receiveWindow(1, 100, 1);
    receiveWindow(2, 200, 1);
    receiveWindow(3, 300, 1);
    run(20);
    receive(packetOf(9, 1, 0, true), smallPacket, 2);
    run(15);
    LONGS_EQUAL(1, countOf(9));
}

TEST(egress_queue, aLowPriorityIsNotStarvedByAHigherOne)
{
    receiveWindow(1, 100, 2);
    run(20);
    const std::size_t before = countOf(1);
    for (std::uint16_t flow = 2; flow < 20; ++flow) {
        receiveWindow(flow, 1, 1);
        run(60);
    }
    CHECK(countOf(1) - before >= 5);
}

TEST(egress_queue, aLinkWithoutARateTakesEverythingAtOnce)
{
    egress_queue unlimited {link_rate {}};
    for (int i = 0; i < 1000; ++i)
        CHECK(unlimited.tryPass(uploadPacket, at(1)));
    CHECK_FALSE(unlimited.nextAt(at(1)).has_value());
}

TEST(egress_queue, theNextDatagramIsDueWhenTheLinkHasTakenTheLast)
{
    CHECK_FALSE(queue.nextAt(at(now)).has_value());
    receiveWindow(1, 100);
    const base::clock_time due = *queue.nextAt(at(now));
    CHECK(due > at(now) && due <= at(now + 8));
    CHECK_FALSE(queue.takeNext(due - at(1)).has_value());
    CHECK(queue.takeNext(due).has_value());
}

// Guards against packets that wait for as long as the link is busy: the turn for the flows that are
// last in the order must not go to the same one of them each time.
TEST(egress_queue, everyWaitingFlowGetsATurnWhileOthersKeepTheLinkBusy)
{
    std::uint32_t sequence = 0;
    const auto receiveMany = [&](std::uint16_t flow, std::uint8_t priority, int windows) {
        for (int i = 0; i < windows; ++i)
            receiveWindow(flow, sequence += window, priority);
    };
    for (std::uint16_t flow = 1; flow <= 4; ++flow)
        receiveMany(flow, flow == 1 ? 0 : flow == 4 ? 2 : 1, 6);
    // The flow of the highest priority always has more to send.
    for (int i = 0; i < 20; ++i) {
        run(100);
        receiveMany(1, 0, 1);
    }
    for (std::uint16_t flow = 1; flow <= 4; ++flow)
        CHECK(countOf(flow) >= 10);
}
