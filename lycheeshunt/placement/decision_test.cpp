#include "lycheeshunt/placement/decision.h"

#include "lycheeshunt/placement/cost.h"

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

    void receiveReport(std::uint64_t node, const server_load &load, std::int64_t now)
    {
        apply(reportOf(node, ++sequence, load), now);
    }

    // Returns the node to which a new flow goes next: 1 if this agent accepts it, 0 if it is
    // refused.
    std::uint64_t placeFlow(std::int64_t now, const std::vector<node_id> &tried = {})
    {
        const std::vector<placement_action> actions = apply(flow_offered {offer_id(1), tried}, now);
        LONGS_EQUAL(1, actions.size());
        if (std::holds_alternative<accept_flow>(actions.front()))
            return self.value();
        if (const forward_offer *forwarded = std::get_if<forward_offer>(&actions.front()))
            return forwarded->to.value();
        return 0;
    }
};

TEST(placement, leastLoadedServerIsOfferedFirst)
{
    apply(own_load_changed {loadOf(5)}, 0);
    receiveReport(2, loadOf(4), 0);
    receiveReport(3, loadOf(1), 0);
    LONGS_EQUAL(3, placeFlow(1));
}

// Guards against a second copy of an opening packet that is refused, instead of being sent to the
// server that got the first one, when no other server has room.
TEST(placement, aCandidateIsAnAgentThatWasNotTriedAndAcceptsFlows)
{
    const auto hasCandidateBesides = [this](const std::vector<node_id> &tried) {
        return hasCandidate(state, flow_offered {offer_id(1), tried}, at(0));
    };
    apply(own_load_changed {loadOf(1)}, 0);
    receiveReport(2, drainingLoad(), 0);
    receiveReport(3, loadOf(1), 0);
    CHECK(hasCandidateBesides({node_id(3)}));
    CHECK(hasCandidateBesides({self}));
    CHECK_FALSE(hasCandidateBesides({self, node_id(3)}));
    apply(own_load_changed {drainingLoad()}, 0);
    CHECK_FALSE(hasCandidateBesides({node_id(3)}));
}

TEST(placement, nearlyEqualLoadSavesTheHop)
{
    apply(own_load_changed {server_load {slot_counts {7, 3}, 105}}, 0);
    receiveReport(2, server_load {slot_counts {7, 3}, 100}, 0);
    receiveReport(3, server_load {slot_counts {7, 4}, 100}, 0);
    LONGS_EQUAL(1, placeFlow(1));
    receiveReport(2, server_load {slot_counts {7, 2}, 100}, 1);
    LONGS_EQUAL(2, placeFlow(2));
}

TEST(placement, openFlowsDecideBetweenEquallyBusyServers)
{
    apply(own_load_changed {loadOf(7)}, 0);
    receiveReport(2, server_load {slot_counts {7, 3}, 200}, 0);
    receiveReport(3, server_load {slot_counts {7, 3}, 100}, 0);
    LONGS_EQUAL(3, placeFlow(1));
    receiveReport(2, server_load {slot_counts {7, 2}, 200}, 2);
    LONGS_EQUAL(2, placeFlow(3));
}

TEST(placement, fullAgentForwardsToAnAgentThatSeemsFullToo)
{
    apply(own_load_changed {loadOf(7)}, 0);
    receiveReport(2, loadOf(7, 2), 0);
    receiveReport(3, loadOf(7, 1), 0);
    LONGS_EQUAL(3, placeFlow(1));
}

TEST(placement, lastAgentThatAcceptsNoFlowsForwardsToOneThatQueuesThem)
{
    const server_load closed {slot_counts {7, 7, 7, 0, false, false}};
    apply(own_load_changed {closed}, 0);
    receiveReport(2, loadOf(7, 3), 0);
    receiveReport(3, closed, 0);
    LONGS_EQUAL(2, placeFlow(1, {node_id(2), node_id(3)}));
    receiveReport(2, closed, 2);
    LONGS_EQUAL(0, placeFlow(3, {node_id(2), node_id(3)}));
}

TEST(placement, freeSlotRequestsWorkFromTheLongestQueueOncePerQueuedItem)
{
    apply(own_load_changed {loadOf(7)}, 0);
    receiveReport(2, loadOf(7, 1), 0);
    receiveReport(3, loadOf(7, 2), 0);
    const std::vector<placement_action> expected {request_work {node_id(3)}};
    apply(placement_tick {}, 1000); // refills the report budget
    CHECK(apply(own_load_changed {loadOf(6)}, 2000).back() == expected.back());
    std::size_t requested = 1;
    for (std::int64_t now = 3000; now < 9000; now += 1000) {
        const std::vector<placement_action> actions = apply(own_load_changed {loadOf(6)}, now);
        for (const placement_action &action : actions)
            requested += std::holds_alternative<request_work>(action) ? 1 : 0;
    }
    LONGS_EQUAL(3, requested);
}

TEST(placement, agentWithoutAQueueReleasesNoWork)
{
    apply(own_load_changed {loadOf(7)}, 0);
    CHECK(apply(work_requested {node_id(2)}, 1).empty());
    apply(own_load_changed {loadOf(7, 1)}, 2);
    const std::vector<placement_action> released = apply(work_requested {node_id(2)}, 3);
    const std::vector<placement_action> expected {release_work {node_id(2)}};
    CHECK(released == expected);
    CHECK(apply(work_requested {node_id(99)}, 3).empty());
}

TEST(placement, longWorkCountsAsOccupiedSlotsOnlyWhenWorkIsQueued)
{
    CHECK(costOf(loadOf(7, 1, 6), 0) > costOf(loadOf(7, 2, 0), 0));
    CHECK(costOf(loadOf(6, 0, 6), 0) < costOf(loadOf(7, 0, 0), 0));
}

TEST(placement, reportFrozenAtIdleCostsOneHopAndIsCorrectedByTheForwardedOffer)
{
    apply(own_load_changed {loadOf(6)}, 0);
    receiveReport(2, loadOf(0), 0);
    receiveReport(3, loadOf(2), 0);
    LONGS_EQUAL(2, placeFlow(1));
    // Agent 2 forwards another offer here, which carries its current load.
    const flow_offered fromBusy {offer_id(2), {node_id(2)}, reportOf(2, 50, loadOf(7, 3))};
    apply(fromBusy, 2);
    LONGS_EQUAL(3, placeFlow(3));
}

TEST(placement, flowsForwardedSinceAReportCount)
{
    apply(own_load_changed {loadOf(7)}, 0);
    receiveReport(2, loadOf(2), 0);
    receiveReport(3, loadOf(3), 0);
    LONGS_EQUAL(2, placeFlow(1));
    LONGS_EQUAL(2, placeFlow(1));
    LONGS_EQUAL(3, placeFlow(1));
}

TEST(placement, staleReportCountsAsTheAverage)
{
    apply(own_load_changed {loadOf(7, 4)}, 0);
    receiveReport(2, loadOf(7, 9), 0);
    receiveReport(3, loadOf(7, 6), 900);
    LONGS_EQUAL(3, placeFlow(901, {self}));
    receiveReport(3, loadOf(7, 14), 1502);
    LONGS_EQUAL(2, placeFlow(1503, {self}));
}

TEST(placement, withAlternatingReportsAnOfferIsForwardedAtMostFourTimes)
{
    for (std::int64_t now = 0; now < 1000; now += 100) {
        const server_load load = now % 200 == 0 ? loadOf(0) : loadOf(7, 7);
        apply(own_load_changed {loadOf(7, 14)}, now);
        receiveReport(2, load, now);
        receiveReport(3, load, now);
        LONGS_EQUAL(1, placeFlow(now, {node_id(4), node_id(5), node_id(6), node_id(7)}));
    }
}

TEST(placement, drainingServerIsOfferedNoFlows)
{
    apply(own_load_changed {drainingLoad()}, 0);
    receiveReport(2, drainingLoad(), 0);
    receiveReport(3, loadOf(7, 9), 0);
    LONGS_EQUAL(3, placeFlow(1));
    receiveReport(3, drainingLoad(), 1);
    LONGS_EQUAL(0, placeFlow(2));
}

TEST(placement, failingServersAreExcludedUnlessMostAreFailing)
{
    apply(own_load_changed {loadOf(6)}, 0);
    receiveReport(2, failingLoad(), 0);
    receiveReport(3, loadOf(5), 0);
    LONGS_EQUAL(3, placeFlow(1));
    receiveReport(3, failingLoad(), 2);
    LONGS_EQUAL(2, placeFlow(3));
}

// While packets passed in one direction only, agents offered flows to peers whose reports they
// received and that did not get the offers.
TEST(placement, aPeerThatDoesNotHearThisAgentIsOfferedNoFlows)
{
    apply(own_load_changed {loadOf(6)}, 0);
    receiveReport(3, loadOf(7), 0);
    apply(load_report {node_id(2), incarnation(1), ++sequence, loadOf(0), true}, 0);
    LONGS_EQUAL(1, placeFlow(1));
    apply(own_load_changed {drainingLoad()}, 1);
    receiveReport(3, drainingLoad(), 1);
    LONGS_EQUAL(0, placeFlow(2, {node_id(2)}));
    receiveReport(2, loadOf(0), 3);
    LONGS_EQUAL(2, placeFlow(4));
}

TEST(placement, aReportTellsAPeerThatIsNoCandidateAnyMoreThatItIsSilent)
{
    const placement_rules defaults;
    state.rules = std::make_shared<const placement_rules>(placement_rules {
        defaults.maxOffers, defaults.maxPeers, defaults.forwardMargin, defaults.flowWeight,
        defaults.flowSlots, defaults.probesWhenFull, false, defaults.zoneWeight,
        defaults.suspectAfter, at(1300), defaults.reportBytesPerSecond});
    receiveReport(2, loadOf(0), 0);
    const auto silentAt = [this](std::int64_t now) {
        std::string silent;
        for (const placement_action &action : apply(placement_tick {}, now)) {
            const send_report &sent = std::get<send_report>(action);
            if (sent.report.isRecipientSilent)
                silent += std::to_string(sent.to.value());
        }
        return silent;
    };
    STRCMP_EQUAL("", silentAt(1200).c_str());
    // No report of agent 3 has come yet, so it is not known whether its packets are lost.
    STRCMP_EQUAL("2", silentAt(1700).c_str());
    receiveReport(2, loadOf(0), 2000);
    STRCMP_EQUAL("", silentAt(2200).c_str());
}

TEST(placement, reportOfAnotherIncarnationOrOutOfOrderIsIgnored)
{
    apply(own_load_changed {loadOf(4)}, 0);
    receiveReport(2, loadOf(5), 0);
    receiveReport(3, loadOf(5), 0);
    apply(load_report {node_id(2), incarnation(9), 99, loadOf(0)}, 1);
    apply(reportOf(2, 1, loadOf(0)), 1);
    apply(reportOf(77, 1, loadOf(0)), 1);
    LONGS_EQUAL(1, placeFlow(2));
}

TEST(placement, zoneBreaksTiesOnly)
{
    apply(peers_changed {{agent(1, "a"), agent(2, "b"), agent(3, "a")}}, 0);
    apply(own_load_changed {loadOf(7)}, 0);
    receiveReport(2, loadOf(2), 0);
    receiveReport(3, loadOf(2), 0);
    LONGS_EQUAL(3, placeFlow(1));
    receiveReport(2, loadOf(1), 1);
    receiveReport(3, loadOf(2), 1);
    LONGS_EQUAL(2, placeFlow(2));
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

TEST(placement, idleAgentSendsHeartbeats)
{
    std::size_t sent = 0;
    for (std::int64_t now = 0; now < 10'000; now += 100)
        sent += apply(placement_tick {}, now).size();
    CHECK(sent >= 40);
    CHECK(sent <= 60);
}

TEST(placement, largeServiceHasABoundedNumberOfPeers)
{
    std::vector<peer> allAgents;
    for (std::uint64_t node = 1; node <= 1000; ++node)
        allAgents.push_back(agent(node));
    apply(peers_changed {allAgents}, 0);
    LONGS_EQUAL(16, state.peers.size());
    LONGS_EQUAL(1, state.peers.count(node_id(1000)));
    LONGS_EQUAL(1, state.peers.count(node_id(9)));
}
