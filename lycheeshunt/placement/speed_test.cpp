// Servers of different speed: how their times are measured and compared, and which of them get new
// flows when many agents decide at once on reports that are up to 400 ms old.

#include "lycheeshunt/placement/cost.h"
#include "lycheeshunt/placement/decision.h"
#include "lycheeshunt/placement/service_times.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt::placement;
using lycheeshunt::admission::slot_counts;
using lycheeshunt::base::clock_time;
using lycheeshunt::base::incarnation;
using lycheeshunt::base::node_id;

namespace {

constexpr std::uint32_t slots = 2;

clock_time at(std::int64_t millis)
{
    return clock_time::ofMillis(millis);
}

std::vector<peer> peersUpTo(std::size_t count)
{
    std::vector<peer> peers;
    for (std::uint64_t node = 1; node <= count; ++node)
        peers.push_back(peer {node_id(node), incarnation(1), "a"});
    return peers;
}

server_load loadOf(std::uint32_t busy, std::uint32_t serviceMillis, std::uint32_t flows = 0)
{
    return server_load {slot_counts {slots, busy}, flows, 0, false, serviceMillis};
}

// The node that agent 1 chooses among `loads`, the first of which is its own.
std::uint64_t chosenAmong(const std::vector<server_load> &loads, std::size_t flowsBefore = 0)
{
    placement_state state(peersUpTo(1).front(), placement_rules {});
    std::vector<placement_action> actions;
    const auto apply = [&](const placement_message &message) {
        auto next = decide(std::move(state), message, at(1));
        state = std::move(next.state);
        actions.swap(next.actions);
    };
    apply(peers_changed {peersUpTo(loads.size())});
    for (std::size_t i = 1; i < loads.size(); ++i)
        apply(load_report {node_id(i + 1), incarnation(1), 1, loads[i]});
    apply(own_load_changed {loads.front()});
    for (std::size_t i = 0; i <= flowsBefore; ++i)
        apply(flow_offered {offer_id(1)});
    const forward_offer *forwarded = std::get_if<forward_offer>(&actions.front());
    return forwarded != nullptr ? forwarded->to.value() : 1;
}

service_time afterAnswers(service_time time, std::int64_t span, int count, std::int64_t from)
{
    for (int i = 0; i < count; ++i)
        time = afterAnswer(time, at(span), at(from + i * 40));
    return time;
}

// Requests that wait for a slot of a server, which works on two at once. Its agent delivers two
// more.
struct request
{
    std::int64_t since;
    double work;
    std::int64_t deliveredAt = 0;
    std::int64_t doneAt = 0;
};

struct served_agent
{
    placement_state placement;
    double speed;
    std::vector<request> running = {};
    std::deque<request> queue = {};
    service_time time = {};
};

class crowd
{
public:
    crowd(std::uint32_t seed, bool reportsSpeed, const std::vector<double> &speeds)
        : m_random(seed), m_reportsSpeed(reportsSpeed)
    {
        const placement_rules rules {.requestsWork = false, .evictAfter = at(1300)};
        const std::vector<peer> peers = peersUpTo(speeds.size());
        for (std::size_t i = 0; i < speeds.size(); ++i) {
            m_agents.push_back(served_agent {placement_state(peers[i], rules), speeds[i]});
            apply(i, peers_changed {peers}, 0);
        }
    }

    // The 99th percentile of the wait for a slot, after three seconds to get to a steady state.
    std::int64_t longWait(double perSecond)
    {
        std::poisson_distribution<int> arrivals(perSecond / 1000);
        std::uniform_int_distribution<std::size_t> director(0, m_agents.size() - 1);
        std::bernoulli_distribution isLong(0.03);
        for (std::int64_t now = 1; now <= 9000; ++now) {
            for (std::size_t i = 0; i < m_agents.size(); ++i)
                work(i, now);
            for (int count = now > 1000 ? arrivals(m_random) : 0; count > 0; --count)
                place(director(m_random), request {now, isLong(m_random) ? 133.0 : 19.0});
        }
        std::sort(m_waits.begin(), m_waits.end());
        return m_waits[m_waits.size() * 99 / 100];
    }

private:
    std::vector<placement_action> apply(std::size_t i, const placement_message &message,
                                        std::int64_t now)
    {
        auto next = decide(std::move(m_agents[i].placement), message, at(now));
        m_agents[i].placement = std::move(next.state);
        for (const placement_action &action : next.actions)
            if (const send_report *report = std::get_if<send_report>(&action))
                apply(report->to.value() - 1, report->report, now);
        return std::move(next.actions);
    }

    void place(std::size_t i, const request &arrived)
    {
        std::vector<node_id> tried;
        for (;;) {
            const auto actions = apply(i, flow_offered {offer_id(1), tried}, arrived.since);
            const forward_offer *forwarded = std::get_if<forward_offer>(&actions.front());
            if (forwarded == nullptr)
                break;
            tried = forwarded->offer.tried;
            i = forwarded->to.value() - 1;
        }
        m_agents[i].queue.push_back(arrived);
        work(i, arrived.since);
    }

    void work(std::size_t i, std::int64_t now)
    {
        served_agent &agent = m_agents[i];
        for (const request &each : agent.running)
            if (each.doneAt <= now)
                agent.time = afterAnswer(agent.time, at(each.doneAt - each.deliveredAt), at(now));
        std::erase_if(agent.running, [&](const request &each) { return each.doneAt <= now; });
        for (; agent.running.size() < slots && !agent.queue.empty(); agent.queue.pop_front()) {
            const request next = agent.queue.front();
            if (next.since > 4000)
                m_waits.push_back(now - next.since);
            const std::int64_t deliveredAt = next.deliveredAt > 0 ? next.deliveredAt : now;
            agent.running.push_back(request {next.since, next.work, deliveredAt,
                                             now + std::lround(next.work / agent.speed)});
        }
        for (std::size_t k = 0; k < std::min<std::size_t>(2, agent.queue.size()); ++k)
            if (agent.running.size() == slots && agent.queue[k].deliveredAt == 0)
                agent.queue[k].deliveredAt = now;
        const std::uint32_t queued = static_cast<std::uint32_t>(agent.queue.size());
        const std::uint32_t busy = static_cast<std::uint32_t>(agent.running.size());
        const server_load load {slot_counts {slots, busy, 0, queued}, busy + queued, 0, false,
                                m_reportsSpeed ? knownMillis(agent.time, at(now)) : 0};
        if (load != *agent.placement.ownLoad)
            apply(i, own_load_changed {load}, now);
        else if (now % 100 == 0)
            apply(i, placement_tick {}, now);
    }

    std::mt19937 m_random;
    const bool m_reportsSpeed;
    std::vector<served_agent> m_agents;
    std::vector<std::int64_t> m_waits;
};

} // namespace

TEST_GROUP(speed) {};

// A single long request among few must not make its server seem slow to all agents.
TEST(speed, fewSamplesAreNotReported)
{
    UNSIGNED_LONGS_EQUAL(0, knownMillis(afterAnswers({}, 20, 7, 0), at(300)));
    UNSIGNED_LONGS_EQUAL(20, knownMillis(afterAnswers({}, 20, 8, 0), at(300)));
    UNSIGNED_LONGS_EQUAL(0, knownMillis(afterAnswers({}, 3, 50, 0), at(2000)));
}

TEST(speed, aLongRequestShiftsTheMeanByLessThanAQuarter)
{
    const service_time usual = afterAnswers({}, 20, 50, 0);
    const service_time next = afterAnswer(usual, at(140), at(2040));
    CHECK(knownMillis(next, at(2040)) < 25);
    // A server that has become slower still shows within about two seconds of answers.
    CHECK(knownMillis(afterAnswers(usual, 100, 50, 2040), at(4040)) > 60);
}

// Guards against a server that gets no flows for seconds because its first samples span a
// suspension of its VM, or a request that its server held back on purpose.
TEST(speed, firstSamplesThatSpanASuspensionDoNotMakeAServerSlow)
{
    for (const std::int64_t suspension : {1'500, 4'000, 10'000, 60'000}) {
        for (const int underWay : {1, 4}) {
            const service_time before
                = afterAnswers(service_time {}, suspension, underWay, 100'000);
            const service_time time = afterAnswers(before, 20, 12, 100'200);
            CHECK(knownMillis(time, at(100'700)) > 0);
            CHECK(knownMillis(time, at(100'700)) < 40);
        }
    }
}

TEST(speed, aServerWithoutRecentSamplesIsNotKnown)
{
    const service_time slow = afterAnswers({}, 100, 20, 0);
    UNSIGNED_LONGS_EQUAL(100, knownMillis(slow, at(5000)));
    UNSIGNED_LONGS_EQUAL(0, knownMillis(slow, at(6000)));
    UNSIGNED_LONGS_EQUAL(20, knownMillis(afterAnswers(slow, 20, 8, 6000), at(6300)));
}

TEST(speed, aFewSlowOrFailingServersDoNotShiftWhatIsUsual)
{
    std::vector<std::uint32_t> times(13, 20);
    times.insert(times.end(), {160, 160, 4, 0});
    DOUBLES_EQUAL(20, usualMillis(times), 0.1);
    DOUBLES_EQUAL(0, usualMillis({0, 0}), 0);
    DOUBLES_EQUAL(8, slownessOf(160, 20), 0.01);
    DOUBLES_EQUAL(1, slownessOf(24, 20), 0);
    DOUBLES_EQUAL(1, slownessOf(0, 20), 0);
    DOUBLES_EQUAL(0.5, slownessOf(4, 20), 0);
}

TEST(speed, aSlowServerGetsNoNewFlowWhileAFasterOneAnswersSooner)
{
    const server_load full = loadOf(2, 20);
    CHECK(chosenAmong({full, loadOf(0, 100), loadOf(1, 20), loadOf(1, 20)}) > 2);
    // It is tried again once its samples are old.
    UNSIGNED_LONGS_EQUAL(2, chosenAmong({full, loadOf(0, 0), loadOf(1, 20), loadOf(1, 20)}));
    // A free slot of a slower server is worth more than a queue at the others.
    const server_load queue {slot_counts {slots, 2, 0, 3}, 0, 0, false, 20};
    UNSIGNED_LONGS_EQUAL(2, chosenAmong({queue, loadOf(0, 40), queue, queue}));
}

// Agents that decide on the same old report must not all send their flows to one fast server.
TEST(speed, flowsForwardedToAFastServerCount)
{
    const std::vector<server_load> loads {loadOf(1, 40), loadOf(0, 20), loadOf(0, 40),
                                          loadOf(0, 40)};
    UNSIGNED_LONGS_EQUAL(2, chosenAmong(loads));
    CHECK(chosenAmong(loads, 2) > 2);
}

TEST(speed, withoutTimesOrWithSimilarOnesTheOrderIsTheSame)
{
    std::mt19937 random(7);
    for (int round = 0; round < 2000; ++round) {
        std::vector<server_load> unknown;
        std::vector<server_load> similar;
        for (int i = 0; i < 6; ++i) {
            const std::uint32_t busy = static_cast<std::uint32_t>(random() % 3);
            const std::uint32_t flows = static_cast<std::uint32_t>(random() % 40);
            unknown.push_back(loadOf(busy, 0, flows));
            similar.push_back(loadOf(busy, 90 + static_cast<std::uint32_t>(random() % 21), flows));
        }
        UNSIGNED_LONGS_EQUAL(chosenAmong(unknown), chosenAmong(similar));
    }
    for (std::uint32_t busy = 0; busy < 12; ++busy) {
        const server_load load {slot_counts {7, std::min(busy, 7U), 1, busy - std::min(busy, 7U)}};
        const double before = busy < 7 ? busy / 7.0 : 1 + (busy - 7.0 + 1) / 6;
        CHECK(costOf(load, 0) == before);
        CHECK(isFull(load, 0) == (costOf(load, 0) >= 1));
    }
}

// 17 of 51 servers are 2.4 times as fast as the others. With times in the reports, many agents that
// prefer the fast ones must not make requests wait for longer.
TEST(speed, fastServersAreNotCrowdedAtTheCrest)
{
    std::vector<double> speeds(51, 0.7);
    for (std::size_t i = 2; i < speeds.size(); i += 3)
        speeds[i] = 1.7;
    constexpr double meanMillis = 0.97 * 19 + 0.03 * 133;
    const double capacity = slots * (34 * 0.7 + 17 * 1.7) * 1000 / meanMillis;
    for (const double share : {0.5, 0.75}) {
        for (const std::uint32_t seed : {1, 2}) {
            const std::int64_t before = crowd(seed, false, speeds).longWait(share * capacity);
            CHECK(crowd(seed, true, speeds).longWait(share * capacity) <= before);
        }
    }
}
