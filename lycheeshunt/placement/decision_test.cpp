#include "lycheeshunt/placement/decision.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt::placement;
using lycheeshunt::admission::slot_counts;
using lycheeshunt::base::clock_time;
using lycheeshunt::base::incarnation;
using lycheeshunt::base::node_id;

namespace {

const node_id self(1);

clock_time at(std::int64_t millis)
{
    return clock_time::ofMillis(millis);
}

peer agent(std::uint64_t node, const char *zone = "a")
{
    return peer {node_id(node), incarnation(1), zone};
}

server_load loadOf(std::uint32_t busy, std::uint32_t queued = 0, std::uint32_t longBusy = 0)
{
    return server_load {slot_counts {7, busy, longBusy, queued}};
}

load_report reportOf(std::uint64_t node, std::uint64_t sequence, const server_load &load)
{
    return load_report {node_id(node), incarnation(1), sequence, load};
}

server_load failingLoad()
{
    return server_load {slot_counts {7, 0}, 0, 0, true};
}

server_load drainingLoad()
{
    return server_load {slot_counts {7, 0, 0, 0, true}};
}

} // namespace

TEST_GROUP(placement)
{
    placement_state state {agent(1), placement_rules {}};
    std::uint64_t sequence = 0;

    std::vector<placement_action> apply(const placement_message &message, std::int64_t now)
    {
        lycheeshunt::base::step<placement_state, placement_action> next
            = decide(std::move(state), message, at(now));
        state = std::move(next.state);
        return std::move(next.actions);
    }

    void setup() override
    {
        apply(peers_changed {{agent(1), agent(2), agent(3)}}, 0);
    }

    void hear(std::uint64_t node, const server_load &load, std::int64_t now)
    {
        apply(reportOf(node, ++sequence, load), now);
    }

    // The node that a new flow goes to next; 1 when this agent takes it, 0 when it is refused.
    std::uint64_t placed(std::int64_t now, const std::vector<node_id> &tried = {})
    {
        const std::vector<placement_action> actions = apply(flow_offered {offer_id(1), tried}, now);
        LONGS_EQUAL(1, actions.size());
        if (std::holds_alternative<take_flow>(actions.front()))
            return self.value();
        if (const pass_flow *passed = std::get_if<pass_flow>(&actions.front()))
            return passed->to.value();
        return 0;
    }
};

TEST(placement, emptiestServerIsOfferedFirst)
{
    apply(own_load_changed {loadOf(5)}, 0);
    hear(2, loadOf(4), 0);
    hear(3, loadOf(1), 0);
    LONGS_EQUAL(3, placed(1));
}

TEST(placement, nearlyEqualLoadSavesTheHop)
{
    apply(own_load_changed {server_load {slot_counts {7, 3}, 105}}, 0);
    hear(2, server_load {slot_counts {7, 3}, 100}, 0);
    hear(3, server_load {slot_counts {7, 4}, 100}, 0);
    LONGS_EQUAL(1, placed(1));
    hear(2, server_load {slot_counts {7, 2}, 100}, 1);
    LONGS_EQUAL(2, placed(2));
}

TEST(placement, openFlowsDecideBetweenServersAsBusy)
{
    apply(own_load_changed {loadOf(7)}, 0);
    hear(2, server_load {slot_counts {7, 3}, 200}, 0);
    hear(3, server_load {slot_counts {7, 3}, 100}, 0);
    LONGS_EQUAL(3, placed(1));
    hear(2, server_load {slot_counts {7, 2}, 200}, 2);
    LONGS_EQUAL(2, placed(3));
}

TEST(placement, fullAgentTriesAnotherOneThoughItSeemsFullToo)
{
    apply(own_load_changed {loadOf(7)}, 0);
    hear(2, loadOf(7, 2), 0);
    hear(3, loadOf(7, 1), 0);
    LONGS_EQUAL(3, placed(1));
}

TEST(placement, lastAgentThatIsClosedGivesTheFlowBackToOneThatLetsItWait)
{
    const server_load closed {slot_counts {7, 7, 7, 0, false, false}};
    apply(own_load_changed {closed}, 0);
    hear(2, loadOf(7, 3), 0);
    hear(3, closed, 0);
    LONGS_EQUAL(2, placed(1, {node_id(2), node_id(3)}));
    hear(2, closed, 2);
    LONGS_EQUAL(0, placed(3, {node_id(2), node_id(3)}));
}

TEST(placement, freeSlotAsksTheLongestQueueOncePerPieceThatWaits)
{
    apply(own_load_changed {loadOf(7)}, 0);
    hear(2, loadOf(7, 1), 0);
    hear(3, loadOf(7, 2), 0);
    const std::vector<placement_action> expected {request_work {node_id(3)}};
    apply(placement_tick {}, 1000); // the control budget fills
    CHECK(apply(own_load_changed {loadOf(6)}, 2000).back() == expected.back());
    std::size_t asked = 1;
    for (std::int64_t now = 3000; now < 9000; now += 1000) {
        const std::vector<placement_action> actions = apply(own_load_changed {loadOf(6)}, now);
        for (const placement_action &action : actions)
            asked += std::holds_alternative<request_work>(action) ? 1 : 0;
    }
    LONGS_EQUAL(3, asked);
}

TEST(placement, agentThatHasNothingWaitingGivesNothing)
{
    apply(own_load_changed {loadOf(7)}, 0);
    CHECK(apply(work_requested {node_id(2)}, 1).empty());
    apply(own_load_changed {loadOf(7, 1)}, 2);
    const std::vector<placement_action> given = apply(work_requested {node_id(2)}, 3);
    const std::vector<placement_action> expected {give_work {node_id(2)}};
    CHECK(given == expected);
    CHECK(apply(work_requested {node_id(99)}, 3).empty());
}

TEST(placement, longWorkCountsAsSlotsGoneWhenWorkMustWait)
{
    CHECK(costOf(loadOf(7, 1, 6), 0) > costOf(loadOf(7, 2, 0), 0));
    CHECK(costOf(loadOf(6, 0, 6), 0) < costOf(loadOf(7, 0, 0), 0));
}

TEST(placement, reportFrozenAtIdleCostsOneHopAndIsCorrectedByThePass)
{
    apply(own_load_changed {loadOf(6)}, 0);
    hear(2, loadOf(0), 0);
    hear(3, loadOf(2), 0);
    LONGS_EQUAL(2, placed(1));
    // Agent 2 passes another flow here and with it what it counts.
    const flow_offered fromBusy {offer_id(2), {node_id(2)}, reportOf(2, 50, loadOf(7, 3))};
    apply(fromBusy, 2);
    LONGS_EQUAL(3, placed(3));
}

TEST(placement, flowsPassedSinceAReportCount)
{
    apply(own_load_changed {loadOf(7)}, 0);
    hear(2, loadOf(2), 0);
    hear(3, loadOf(3), 0);
    LONGS_EQUAL(2, placed(1));
    LONGS_EQUAL(2, placed(1));
    LONGS_EQUAL(3, placed(1));
}

TEST(placement, reportFrozenAtBusyFadesToTheAverage)
{
    apply(own_load_changed {loadOf(7, 4)}, 0);
    hear(2, loadOf(7, 9), 0);
    hear(3, loadOf(7, 6), 900);
    LONGS_EQUAL(3, placed(901, {self}));
    hear(3, loadOf(7, 14), 1502);
    LONGS_EQUAL(2, placed(1503, {self}));
}

TEST(placement, alternatingReportsAreCheckedByTheOfferAtMostFourTimes)
{
    for (std::int64_t now = 0; now < 1000; now += 100) {
        const server_load load = now % 200 == 0 ? loadOf(0) : loadOf(7, 7);
        apply(own_load_changed {loadOf(7, 14)}, now);
        hear(2, load, now);
        hear(3, load, now);
        LONGS_EQUAL(1, placed(now, {node_id(4), node_id(5), node_id(6), node_id(7)}));
    }
}

TEST(placement, drainingServerIsOfferedNothing)
{
    apply(own_load_changed {drainingLoad()}, 0);
    hear(2, drainingLoad(), 0);
    hear(3, loadOf(7, 9), 0);
    LONGS_EQUAL(3, placed(1));
    hear(3, drainingLoad(), 1);
    LONGS_EQUAL(0, placed(2));
}

TEST(placement, failingServersAreLeftOutUnlessMostAre)
{
    apply(own_load_changed {loadOf(6)}, 0);
    hear(2, failingLoad(), 0);
    hear(3, loadOf(5), 0);
    LONGS_EQUAL(3, placed(1));
    hear(3, failingLoad(), 2);
    LONGS_EQUAL(2, placed(3));
}

TEST(placement, reportOfAnotherIncarnationOrOutOfOrderIsIgnored)
{
    apply(own_load_changed {loadOf(4)}, 0);
    hear(2, loadOf(5), 0);
    hear(3, loadOf(5), 0);
    apply(load_report {node_id(2), incarnation(9), 99, loadOf(0)}, 1);
    apply(reportOf(2, 1, loadOf(0)), 1);
    apply(reportOf(77, 1, loadOf(0)), 1);
    LONGS_EQUAL(1, placed(2));
}

TEST(placement, zoneBreaksTiesOnly)
{
    apply(peers_changed {{agent(1, "a"), agent(2, "b"), agent(3, "a")}}, 0);
    apply(own_load_changed {loadOf(7)}, 0);
    hear(2, loadOf(2), 0);
    hear(3, loadOf(2), 0);
    LONGS_EQUAL(3, placed(1));
    hear(2, loadOf(1), 1);
    hear(3, loadOf(2), 1);
    LONGS_EQUAL(2, placed(2));
}

TEST(placement, reportsStayWithinTheControlBudget)
{
    std::size_t sent = 0;
    for (std::int64_t now = 0; now < 10'000; now += 10)
        sent += apply(own_load_changed {loadOf(static_cast<std::uint32_t>(now / 10 % 7))}, now)
                    .size();
    CHECK(sent * 64 <= 20'000 + 2 * 64);
    CHECK(sent * 64 >= 15'000);
}

TEST(placement, idleAgentStillReports)
{
    std::size_t sent = 0;
    for (std::int64_t now = 0; now < 10'000; now += 100)
        sent += apply(placement_tick {}, now).size();
    CHECK(sent >= 40);
    CHECK(sent <= 60);
}

TEST(placement, largeServiceHasABoundedNumberOfPeers)
{
    std::vector<peer> many;
    for (std::uint64_t node = 1; node <= 1000; ++node)
        many.push_back(agent(node));
    apply(peers_changed {many}, 0);
    LONGS_EQUAL(16, state.peers.size());
    LONGS_EQUAL(1, state.peers.count(node_id(1000)));
    LONGS_EQUAL(1, state.peers.count(node_id(9)));
}
