// Priorities among the requests that wait for a slot, where demand exceeds what a server can do.

#include "lycheeshunt/flows/agent_fixture_test.h"

#include <algorithm>
#include <map>
#include <random>

using namespace lycheeshunt;
using namespace lycheeshunt::flows;
using namespace lycheeshunt::flows::testing;

namespace {

constexpr std::uint32_t headroom = 2;
constexpr std::int64_t crestMillis = 3000;
// The last requests of the crest are served in this time.
constexpr std::int64_t drainMillis = 100;

base::flow_key keyOf(std::uint32_t flow)
{
    return base::flow_key {base::endpoint {0x64400000 + flow, 40001}, address, 6};
}

forwarded_packet requestOf(std::uint32_t flow, std::uint8_t priority,
                           tickets::request_kind kind = tickets::request_kind::idempotent)
{
    return forwarded_packet {logbook,
                             base::incarnation(1),
                             base::generation(1),
                             packet_stage::toOwner,
                             0,
                             packets::ip_summary {keyOf(flow), false, false, false, 100},
                             base::packet_bytes("request " + std::to_string(flow)),
                             {},
                             {},
                             false,
                             request_class {kind, priority}};
}

std::uint32_t flowOf(const waiting_request &request)
{
    return request.key().caller.address - 0x64400000;
}

struct crest_result
{
    // In ascending order, by priority.
    std::map<std::uint8_t, std::vector<std::int64_t>> waits;
    std::map<std::uint8_t, std::size_t> arrived;
};

// Plays 3 s in which requests arrive at half again the rate that the server can handle (one in 10
// ms): for each request of priority 1 there are three of priority 2. With `isRanked` false all
// have one priority.
crest_result playCrest(bool isRanked)
{
    waiting_requests waiting;
    crest_result result;
    std::mt19937_64 random(11);
    std::map<std::uint32_t, std::uint8_t> priorities;
    std::uint32_t flow = 0;
    for (std::int64_t now = 0; now < crestMillis + drainMillis; ++now) {
        if (now < crestMillis && random() % 20 < 3) {
            const std::uint8_t priority = random() % 4 == 0 ? 1 : 2;
            priorities[++flow] = priority;
            ++result.arrived[priority];
            waiting.add(requestOf(flow, isRanked ? priority : 0), at(now));
        }
        if (now % 10 != 0)
            continue;
        if (const std::optional<waiting_request> next = waiting.takeNext(at(now)))
            result.waits[priorities.at(flowOf(*next))].push_back(now - next->since.millis());
    }
    for (auto it = result.waits.begin(); it != result.waits.end(); ++it)
        std::sort(it->second.begin(), it->second.end());
    return result;
}

// The wait that 99 in 100 of the requests of this priority don't exceed. Those that were never
// served waited for the whole time.
std::int64_t longWait(const crest_result &result, std::uint8_t priority)
{
    const std::vector<std::int64_t> &waits = result.waits.at(priority);
    const std::size_t index = result.arrived.at(priority) * 99 / 100;
    return index < waits.size() ? waits[index] : crestMillis;
}

} // namespace

TEST_GROUP_BASE(request_priority, agent_fixture)
{
    waiting_requests waiting;

    std::vector<std::uint8_t> takePriorities(std::size_t count)
    {
        std::vector<std::uint8_t> taken;
        for (std::size_t i = 0; i < count; ++i)
            taken.push_back(waiting.takeNext(at(1))->priority());
        return taken;
    }

    // Opens a flow here and sends its request.
    void openWith(std::uint32_t flow, std::uint8_t priority)
    {
        receivePeerReports();
        apply(packetFor(packets::ip_summary {keyOf(flow), true}, packet_stage::offer,
                        {nodeOf("a2"), nodeOf("a3")}));
        receiveFromServer(packets::ip_summary {keyOf(flow)});
        apply(requestOf(flow, priority));
    }

    // All slots are busy, and the queue is full of requests of this priority. Those from
    // slots + headroom to slots + headroom + maxPackets - 1 wait.
    void fillQueue(std::uint8_t priority)
    {
        for (std::uint32_t flow = 0; flow < slots + headroom + waiting_requests::maxPackets; ++flow)
            openWith(flow, priority);
        LONGS_EQUAL(waiting_requests::maxPackets, state->waiting.size());
    }

    std::vector<base::flow_key> displaced() const
    {
        std::vector<base::flow_key> keys;
        for (const flow_event &event : actionsOf<flow_event>()) {
            if (event.kind == flow_event_kind::displaced)
                keys.push_back(event.key);
        }
        return keys;
    }
};

// Non-idempotent requests (priority 1) must not fail in a crest because of the others.
TEST(request_priority, inACrestTheHigherPriorityWaitsLittle)
{
    const crest_result without = playCrest(false);
    const crest_result with = playCrest(true);
    printf("T %ld %ld; %zu %zu of %zu\n", longWait(without, 1), longWait(with, 1),
           without.waits.at(1).size(), with.waits.at(1).size(), with.arrived.at(1));
    LONGS_EQUAL(crestMillis, longWait(without, 1));
    CHECK(longWait(with, 1) < 50);
    // What the lower priority loses is what the higher one gains.
    CHECK(with.waits.at(2).size() >= without.waits.at(2).size() * 8 / 10);
    // The server is never idle for it.
    LONGS_EQUAL(without.waits.at(1).size() + without.waits.at(2).size(),
                with.waits.at(1).size() + with.waits.at(2).size());
}

// A priority whose requests occupy the server completely must not starve those below it.
TEST(request_priority, everyEighthRequestIsOfALowerPriority)
{
    for (std::uint32_t flow = 0; flow < 40; ++flow)
        waiting.add(requestOf(flow, 1), at(0));
    for (std::uint32_t flow = 40; flow < 44; ++flow)
        waiting.add(requestOf(flow, flow % 2 == 0 ? 2 : 3), at(0));
    const std::vector<std::uint8_t> taken = takePriorities(32);
    LONGS_EQUAL(28, std::count(taken.begin(), taken.end(), 1));
    LONGS_EQUAL(2, taken[7]);
    LONGS_EQUAL(3, taken[15]);
    LONGS_EQUAL(2, taken[23]);
    LONGS_EQUAL(3, taken[31]);
}

// Within a priority the newest goes first under overload. The wait of a lower priority is no
// overload of a higher one.
TEST(request_priority, theOrderWithinAPriorityDependsOnItsOwnWaits)
{
    waiting.add(requestOf(1, 2), at(0));
    waiting.add(requestOf(2, 2), at(50));
    waiting.add(requestOf(3, 1), at(150));
    waiting.add(requestOf(4, 1), at(160));
    for (const std::uint32_t expected : {3, 4, 2, 1})
        LONGS_EQUAL(expected, flowOf(*waiting.takeNext(at(200))));
}

// Guards deployments without priorities: their order is that of the queue before priorities.
TEST(request_priority, withOnePriorityTheOrderIsThatOfArrivalOrItsReverseUnderOverload)
{
    for (const std::uint8_t priority : {0, 2}) {
        std::mt19937_64 random(3);
        std::map<std::int64_t, std::uint32_t> reference;
        std::uint32_t flow = 0;
        for (std::int64_t time = 0; time < 5000; ++time) {
            if (random() % 8 == 0) {
                waiting.add(requestOf(++flow, priority), at(time));
                reference.emplace(time, flow);
            }
            if (random() % 9 != 0 || reference.empty())
                continue;
            const bool isOverloaded = time - reference.begin()->first >= 100;
            const auto expected = isOverloaded ? std::prev(reference.end()) : reference.begin();
            LONGS_EQUAL(expected->second, flowOf(*waiting.takeNext(at(time))));
            reference.erase(expected);
        }
        while (waiting.takeNext(at(6000))) { }
    }
}

// Uploads that wait for the bound of transfers stay, whatever their priority.
TEST(request_priority, requestsPassUploadsThatMayNotStart)
{
    waiting.add(requestOf(1, 0, tickets::request_kind::upload), at(0));
    waiting.add(requestOf(2, 3), at(0));
    LONGS_EQUAL(1, waiting.uploads());
    LONGS_EQUAL(2, flowOf(*waiting.takeNext(at(0), false)));
    CHECK_FALSE(waiting.takeNext(at(0), false).has_value());
    LONGS_EQUAL(1, flowOf(*waiting.takeNext(at(0))));
    LONGS_EQUAL(0, waiting.uploads());
}

TEST(request_priority, aFullQueueDropsALowerPriorityForAHigherOne)
{
    fillQueue(2);
    const std::uint32_t urgent = 5000;
    openWith(urgent, 1);
    CHECK(state->waiting.contains(keyOf(urgent)));
    LONGS_EQUAL(1, displaced().size());
    LONGS_EQUAL(waiting_requests::maxPackets, state->waiting.size());
    // The one that would have been served last.
    const std::uint32_t last = slots + headroom + waiting_requests::maxPackets - 1;
    CHECK(displaced().front() == keyOf(last));
    CHECK_FALSE(state->waiting.contains(keyOf(last)));
    // Its caller retransmits it while the queue is still full, and once there is room again.
    apply(requestOf(last, 2));
    CHECK_FALSE(state->waiting.contains(keyOf(last)));
    CHECK(actionsOf<deliver_to_server>().empty());
    receiveFromServer(packets::ip_summary {keyOf(0), false, false, false, 500});
    CHECK_FALSE(state->waiting.contains(keyOf(urgent)));
    apply(requestOf(last, 2));
    CHECK(state->waiting.contains(keyOf(last)));
}

// Under overload the newest goes first, so the oldest has the least chance of an answer.
TEST(request_priority, underOverloadTheOldestIsDropped)
{
    fillQueue(2);
    now += 150;
    openWith(5000, 1);
    CHECK_EQUAL(1U, displaced().size());
    CHECK_FALSE(state->waiting.contains(displaced().front()));
    CHECK(state->waiting.contains(keyOf(5000)));
}

// With one priority, a request that finds the queue full goes to the server, as before priorities.
TEST(request_priority, aFullQueueOfOnePriorityDropsNothing)
{
    fillQueue(2);
    openWith(5000, 2);
    CHECK(displaced().empty());
    LONGS_EQUAL(1, actionsOf<deliver_to_server>().size());
    LONGS_EQUAL(waiting_requests::maxPackets, state->waiting.size());
}

TEST(request_priority, theWaitIsReportedWithThePriority)
{
    for (std::uint32_t flow = 0; flow < slots + headroom + 1; ++flow)
        openWith(flow, 2);
    now += 30;
    receiveFromServer(packets::ip_summary {keyOf(0), false, false, false, 500});
    for (const request_timing &timing : actionsOf<request_timing>()) {
        if (timing.step == request_step::waited)
            CHECK(timing == (request_timing {request_step::waited, at(30), 2}));
    }
    LONGS_EQUAL(2, actionsOf<request_timing>().size());
}
