// Uploads that arrive over narrow links: a server works a few milliseconds on a request that takes
// hundreds to arrive. Counted from its first packet, a few such requests occupy all slots of a
// server that has nothing to do.

#include "lycheeshunt/flows/agent_fixture_test.h"

#include <algorithm>
#include <map>
#include <random>

using namespace lycheeshunt;
using namespace lycheeshunt::flows;
using namespace lycheeshunt::flows::testing;

namespace {

constexpr request_class plain {};
constexpr request_class upload {tickets::request_kind::upload, 0};
constexpr std::uint16_t packetBytes = 1200;
// What the agent gives a server beyond its slots.
constexpr std::uint32_t headroom = 2;
constexpr std::uint32_t maxTransfersPerSlot = 64;

struct upload_caller
{
    const std::int64_t startsAt;
    std::uint32_t sent = 0;
    std::uint32_t delivered = 0;
    std::int64_t nextPacketAt = 0;
    std::int64_t answerAt = 0;
};

} // namespace

TEST_GROUP_BASE(upload_transfers, agent_fixture) {base::flow_key keyOf(std::uint32_t flow) const {
    return base::flow_key {base::endpoint {1, static_cast<std::uint16_t>(flow + 1)}, address, 6};
}

packets::ip_summary partOf(std::uint32_t flow, std::uint32_t index) const
{
    return packets::ip_summary {keyOf(flow), false, false, false,
                                packetBytes, false, false, 1 + index * packetBytes};
}

void setSlots(std::uint32_t count)
{
    apply(server_changed {base::incarnation(1), true, count, false});
}

void open(std::uint32_t flow)
{
    receivePeerReports();
    apply(packetFor(packets::ip_summary {keyOf(flow), true}, packet_stage::offer,
                    {nodeOf("a2"), nodeOf("a3")}));
    receiveFromServer(packets::ip_summary {keyOf(flow)});
}

// Returns whether the packet has reached the server.
bool send(std::uint32_t flow, std::uint32_t index, const request_class &requestClass = upload)
{
    const packets::ip_summary part = partOf(flow, index);
    const std::string bytes = std::to_string(flow) + " " + std::to_string(index);
    apply(forwarded_packet {logbook,
                            base::incarnation(1),
                            base::generation(1),
                            packet_stage::toOwner,
                            0,
                            part,
                            base::packet_bytes(bytes),
                            entry,
                            {},
                            false,
                            requestClass});
    return !actionsOf<deliver_to_server>().empty();
}

void answer(std::uint32_t flow)
{
    receiveFromServer(packets::ip_summary {keyOf(flow), false, false, false, 500});
}

void openAndSend(std::uint32_t first, std::uint32_t count, const request_class &requestClass)
{
    for (std::uint32_t flow = first; flow < first + count; ++flow) {
        open(flow);
        send(flow, 0, requestClass);
    }
}

// Plays 100 uploads of 40 KB that each take 400 ms to arrive, about 8 a second, at a server with 2
// slots that works 4 ms on each. Returns by how much each was answered later than if it had never
// waited, in ascending order.
std::vector<std::int64_t> delaysOfUploads(const request_class &requestClass)
{
    constexpr std::uint32_t parts = 34;
    constexpr std::int64_t partMillis = 12;
    constexpr std::int64_t workMillis = 4;
    constexpr std::uint32_t window = 10;
    constexpr std::int64_t retransmitMillis = 200;
    constexpr std::size_t count = 100;
    constexpr double meanPauseMillis = 125;
    setSlots(2);
    std::mt19937_64 random(7);
    std::exponential_distribution<double> pause(1 / meanPauseMillis);
    std::vector<upload_caller> callers;
    for (std::int64_t start = now; callers.size() < count;
         start += static_cast<std::int64_t>(pause(random)))
        callers.push_back(upload_caller {start});
    std::vector<std::int64_t> delays;
    for (; delays.size() < count && now < 100'000; ++now) {
        for (std::uint32_t flow = 0; flow < count; ++flow) {
            upload_caller &caller = callers[flow];
            if (now == caller.startsAt) {
                open(flow);
                caller.nextPacketAt = now;
            }
            const bool isUnderWay = now >= caller.startsAt && caller.delivered < parts;
            const bool isBlocked = caller.sent == std::min(parts, caller.delivered + window);
            if (isUnderWay && !isBlocked && now >= caller.nextPacketAt) {
                send(flow, caller.sent++, requestClass);
                caller.nextPacketAt = now + partMillis;
                countDeliveries(callers);
            } else if (isUnderWay && isBlocked && now >= caller.nextPacketAt + retransmitMillis) {
                send(flow, caller.delivered, requestClass);
                caller.nextPacketAt = now;
                countDeliveries(callers);
            }
            if (caller.delivered == parts && caller.answerAt == 0)
                caller.answerAt = now + workMillis;
            if (caller.answerAt == now) {
                answer(flow);
                countDeliveries(callers);
                delays.push_back(now - caller.startsAt - (parts - 1) * partMillis - workMillis);
            }
        }
        if (now % 100 == 0) {
            apply(tick {});
            countDeliveries(callers);
        }
    }
    std::sort(delays.begin(), delays.end());
    return delays;
}

void countDeliveries(std::vector<upload_caller> &callers)
{
    for (const deliver_to_server &delivery : actionsOf<deliver_to_server>()) {
        const std::string bytes(delivery.bytes.view());
        if (bytes != "packet")
            ++callers[std::stoul(bytes)].delivered;
    }
}
}
;

TEST(upload_transfers, uploadsThatArriveSlowlyDoNotWait)
{
    const std::vector<std::int64_t> delays = delaysOfUploads(upload);
    LONGS_EQUAL(100, delays.size());
    LONGS_EQUAL(0, delays.back());
    LONGS_EQUAL(0, state->busyFlows);
    LONGS_EQUAL(0, state->transfers);
}

// The same load counted as any other request, as before classes and by agents that get none.
TEST(upload_transfers, withoutAClassTheSameUploadsWait)
{
    const std::vector<std::int64_t> delays = delaysOfUploads(plain);
    LONGS_EQUAL(100, delays.size());
    // Of a hundred, ten are answered a quarter of a second later.
    CHECK(delays[90] > 250);
}

TEST(upload_transfers, uploadsInTransferLeaveTheSlotsToOtherRequests)
{
    openAndSend(0, 30, upload);
    LONGS_EQUAL(30, state->transfers);
    LONGS_EQUAL(0, state->busyFlows);
    for (std::uint32_t flow = 30; flow < 30 + slots + headroom; ++flow) {
        open(flow);
        CHECK(send(flow, 0, plain));
    }
    LONGS_EQUAL(slots + headroom, state->busyFlows);
    // Without a free slot a further upload waits, but those that arrive go on.
    open(100);
    CHECK_FALSE(send(100, 0));
    CHECK(send(0, 1));
    answer(30);
    LONGS_EQUAL(0, state->waiting.size());
    LONGS_EQUAL(31, state->transfers);
}

// A server that gets a wave of uploads works on all of them once they have arrived.
TEST(upload_transfers, transfersAreBoundedAndOtherRequestsPassThoseThatWait)
{
    setSlots(1);
    openAndSend(0, maxTransfersPerSlot + 3, upload);
    LONGS_EQUAL(maxTransfersPerSlot, state->transfers);
    LONGS_EQUAL(3, state->waiting.size());
    open(200);
    CHECK(send(200, 0, plain));
    LONGS_EQUAL(0, actionsOf<flow_event>().size());
    LONGS_EQUAL(1, state->busyFlows);
    answer(5);
    LONGS_EQUAL(2, state->waiting.size());
    LONGS_EQUAL(maxTransfersPerSlot, state->transfers);
    // The end of a caller that was in transfer makes room, too.
    apply(packetFor(packets::ip_summary {keyOf(6), false, false, true}, packet_stage::toOwner));
    LONGS_EQUAL(1, state->waiting.size());
    LONGS_EQUAL(maxTransfersPerSlot, state->transfers);
}

// Uploads that have arrived at a busy server are work like any other.
TEST(upload_transfers, anUploadWhoseCallerHasPausedHoldsASlot)
{
    openAndSend(0, slots + headroom, upload);
    now += 90;
    send(0, 1);
    now += 10;
    apply(tick {});
    LONGS_EQUAL(slots + headroom - 1, state->busyFlows);
    LONGS_EQUAL(1, state->transfers);
    now += 100;
    apply(tick {});
    LONGS_EQUAL(slots + headroom, state->busyFlows);
    LONGS_EQUAL(0, state->transfers);
    open(50);
    CHECK_FALSE(send(50, 0, plain));
    answer(0);
    LONGS_EQUAL(0, state->waiting.size());
}

// A caller sends a lost packet again after 200 ms at the earliest.
TEST(upload_transfers, aRetransmittedPartContinuesTheTransfer)
{
    openAndSend(0, 1, upload);
    send(0, 3);
    now += 200;
    apply(tick {});
    LONGS_EQUAL(1, state->busyFlows);
    send(0, 1);
    LONGS_EQUAL(0, state->busyFlows);
    LONGS_EQUAL(1, state->transfers);
    answer(0);
    LONGS_EQUAL(0, state->transfers);
    // After the answer, a copy of the last part is no request.
    send(0, 3);
    LONGS_EQUAL(0, state->transfers);
    LONGS_EQUAL(0, state->busyFlows);
}

// A caller that stops for good must not hold its slot for ever.
TEST(upload_transfers, aTransferThatStopsGivesItsSlotUp)
{
    openAndSend(0, slots + headroom, upload);
    now += 100;
    apply(tick {});
    LONGS_EQUAL(slots + headroom, state->busyFlows);
    now += 1000;
    open(50);
    CHECK_FALSE(send(50, 0, plain));
    now += 900;
    apply(tick {});
    LONGS_EQUAL(0, state->waiting.size());
    LONGS_EQUAL(1, state->busyFlows);
    // The answer of a request that has timed out changes no count.
    answer(0);
    LONGS_EQUAL(1, state->busyFlows);
}

TEST(upload_transfers, eachRequestOfAFlowIsATransferOfItsOwn)
{
    openAndSend(0, 1, upload);
    answer(0);
    LONGS_EQUAL(0, state->transfers);
    CHECK(send(0, 1));
    LONGS_EQUAL(1, state->transfers);
    apply(packetFor(packets::ip_summary {keyOf(0), false, false, true}, packet_stage::toOwner));
    LONGS_EQUAL(0, state->transfers);
    LONGS_EQUAL(0, state->busyFlows);
}

// During an upgrade, some entries send no class.
TEST(upload_transfers, aPartWithoutClassDoesNotEndTheTransfer)
{
    openAndSend(0, 1, upload);
    send(0, 1, plain);
    LONGS_EQUAL(1, state->transfers);
    LONGS_EQUAL(0, state->busyFlows);
}

// After a restart the agent has no flows, and uploads are partly sent.
TEST(upload_transfers, anUploadThatOutlivesItsAgentIsInTransferAgain)
{
    send(0, 5);
    LONGS_EQUAL(0, state->transfers);
    LONGS_EQUAL(0, state->busyFlows);
    receiveFromServer(packets::ip_summary {keyOf(0)});
    send(0, 6);
    LONGS_EQUAL(1, state->transfers);
    LONGS_EQUAL(0, state->busyFlows);
    answer(0);
    LONGS_EQUAL(0, state->transfers);
}

// The time that an upload takes to arrive does not depend on the server.
TEST(upload_transfers, theServersTimeBeginsWithTheLastPart)
{
    openAndSend(0, 1, upload);
    now += 90;
    send(0, 1);
    now += 4;
    answer(0);
    const request_timing timing = actionsOf<request_timing>().front();
    CHECK(timing.step == request_step::answered);
    LONGS_EQUAL(4, timing.span.millis());
}
