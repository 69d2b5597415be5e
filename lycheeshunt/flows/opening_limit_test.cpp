// A backend server that warms up after its start and can handle only a few requests per second.

#include "lycheeshunt/flows/agent_fixture_test.h"
#include "lycheeshunt/flows/internal/opening_limit.h"

#include <limits>

using namespace lycheeshunt;
using namespace lycheeshunt::flows;
using namespace lycheeshunt::flows::testing;

namespace {

constexpr std::uint32_t slack = 5;
constexpr std::int64_t second = 1000;
// Refills no token within any test.
constexpr double smallestRate = std::numeric_limits<double>::denorm_min();

} // namespace

TEST_GROUP_BASE(opening_limit, agent_fixture)
{
    std::vector<std::int64_t> delivered;
    std::uint64_t generation = 1;
    std::uint16_t lastPort = 0;
    std::uint16_t lastDelivered = 0;

    void setup() override
    {
        start(smallestRate);
    }

    void start(std::optional<double> rate, std::optional<std::uint32_t> burst = slack)
    {
        warmupRate = rate;
        warmupSlack = burst;
        agent_fixture::setup();
        delivered.clear();
        generation = 1;
    }

    void checkIn(std::int64_t remaining, std::uint64_t serverStarts = 1)
    {
        apply(warmup_changed {at(remaining > 0 ? now + remaining : 0), serverStarts});
    }

    // Sends an opening packet to this agent as its director. The server answers at once.
    packets::ip_summary open(std::uint16_t port, bool isRepeated = false)
    {
        const packets::ip_summary opening {base::flow_key {base::endpoint {1, port}, address, 6},
                                           true,
                                           false,
                                           false,
                                           0,
                                           isRepeated};
        apply(packetFor(opening, packet_stage::toDirector));
        std::vector<flow_action> sent(actions);
        if (!actionsOf<deliver_to_server>().empty()) {
            delivered.push_back(now);
            lastDelivered = port;
            receiveFromServer(packets::ip_summary {opening.key});
        }
        actions.swap(sent);
        return opening;
    }

    // Offers the server more than it may get.
    std::size_t openMany(std::uint16_t count)
    {
        const std::size_t before = delivered.size();
        for (std::uint16_t i = 0; i < count; ++i)
            open(++lastPort);
        return delivered.size() - before;
    }

    std::size_t mostInAnySecond() const
    {
        std::size_t most = 0;
        for (std::size_t first = 0, last = 0; last < delivered.size(); ++last) {
            while (delivered[last] - delivered[first] > second)
                ++first;
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    // Ten seconds of openings with check-ins, changes of the view and repeated openings among them.
    void runCold(std::uint32_t interval)
    {
        for (std::uint32_t i = 0; i * interval < 10 * second; ++i, now += interval) {
            if (i % 20 == 0)
                checkIn(11 * second);
            if (i % 30 == 0)
                receiveView(++generation);
            if (i % 5 == 0)
                apply(tick {});
            if (i % 4 == 3)
                open(lastDelivered, true);
            else
                openMany(1);
        }
    }
};

TEST(opening_limit, inAnySecondAColdServerGetsAtMostItsRateAndTheSlack)
{
    for (const double rate : {smallestRate, 1.0, 20.0}) {
        for (const std::uint32_t interval : {3, 17, 49, 333}) {
            start(rate);
            runCold(interval);
            CHECK(mostInAnySecond() <= static_cast<std::size_t>(rate) + slack);
            const double offered = 10.0 * second / interval;
            const double possible = std::min(offered / 2, slack + rate * 9);
            CHECK(static_cast<double>(delivered.size()) >= possible);
            if (rate < 1)
                UNSIGNED_LONGS_EQUAL(slack, delivered.size());
        }
    }
}

TEST(opening_limit, theSmallestRateLeavesTheSlackUntilTheServerIsWarm)
{
    checkIn(20 * second);
    UNSIGNED_LONGS_EQUAL(slack, openMany(50));
    now += 19 * second;
    UNSIGNED_LONGS_EQUAL(0, openMany(50));
    now += second;
    UNSIGNED_LONGS_EQUAL(50, openMany(50));
}

// Guards against a service that refuses all callers: after all its servers have started together, a
// rate of 0 would refuse every flow until they are warm.
TEST(opening_limit, withARateOfZeroAColdServerGetsMoreThanTheSlackOnlyIfNoOtherAccepts)
{
    start(0);
    receivePeerReports();
    checkIn(20 * second);
    CHECK(openMany(50) <= slack);
    start(0);
    receivePeerReports(false);
    checkIn(20 * second);
    UNSIGNED_LONGS_EQUAL(50, openMany(50));
    start(smallestRate);
    receivePeerReports(false);
    checkIn(20 * second);
    UNSIGNED_LONGS_EQUAL(slack, openMany(50));
}

// Guards against a cold server that gets a copy of every opening packet beyond its slack: callers
// repeat each one that is not answered in time.
TEST(opening_limit, withARateOfZeroRepeatedOpeningsCountWhileAnotherServerAccepts)
{
    start(0);
    receivePeerReports();
    checkIn(20 * second);
    openMany(50);
    const std::size_t first = delivered.size();
    now += 200;
    receivePeerReports();
    for (std::uint16_t i = 0; i < 5; ++i)
        open(lastDelivered, true);
    CHECK(delivered.size() <= slack);
    CHECK(first > 0);
}

// A flow was offered to as many agents as permitted. Guards against a cold server that gets it
// beyond its slack, and against a reset, while other agents would accept the flow.
TEST(opening_limit, aLastOfferDoesNotExceedTheSlackNorIsItResetWhileAnotherServerAccepts)
{
    for (const double rate : {0.0, smallestRate}) {
        start(rate);
        checkIn(20 * second);
        receivePeerReports(false);
        openMany(slack);
        now += 1;
        receivePeerReports();
        const packets::ip_summary opening {base::flow_key {base::endpoint {1, 9000}, address, 6},
                                           true};
        apply(packetFor(opening, packet_stage::offer,
                        {nodeOf("b1"), nodeOf("b2"), nodeOf("b3"), nodeOf("b4")}));
        CHECK(actionsOf<deliver_to_server>().empty());
        // The caller repeats its opening packet, which is then offered to others.
        CHECK(actionsOf<reset_caller>().empty());
    }
}

// Guards against a service that refuses all callers until it is warm because a bucket without slack
// never holds a token.
TEST(opening_limit, withoutAnySlackAColdServerGetsItsRate)
{
    start(20, 0);
    checkIn(20 * second);
    std::int64_t opened = 0;
    for (std::int64_t i = 0; i < 5 * second; i += 10, now += 10)
        opened += static_cast<std::int64_t>(openMany(1));
    CHECK(opened >= 95);
    CHECK(opened <= 100);
    start(0.5, 0);
    checkIn(20 * second);
    UNSIGNED_LONGS_EQUAL(0, openMany(10));
}

TEST(opening_limit, aCheckInThatTellsOfAWarmServerEndsTheLimit)
{
    checkIn(20 * second);
    openMany(10);
    checkIn(0);
    UNSIGNED_LONGS_EQUAL(50, openMany(50));
}

// A server that was silent for a while is served in a new incarnation, but has not started again.
TEST(opening_limit, onlyAStartOfTheServerFillsTheBucket)
{
    checkIn(20 * second);
    openMany(10);
    checkIn(20 * second);
    UNSIGNED_LONGS_EQUAL(0, openMany(10));
    apply(server_changed {base::incarnation(2), true, slots, false});
    checkIn(20 * second);
    UNSIGNED_LONGS_EQUAL(0, openMany(10));
    checkIn(20 * second, 2);
    UNSIGNED_LONGS_EQUAL(slack, openMany(10));
}

TEST(opening_limit, aRateThatChangesCountsFromThenOn)
{
    checkIn(20 * second);
    openMany(10);
    now += 5 * second;
    warmupRate = 20;
    receiveView(++generation);
    UNSIGNED_LONGS_EQUAL(0, openMany(10));
    now += 100;
    UNSIGNED_LONGS_EQUAL(2, openMany(10));
    warmupRate.reset();
    receiveView(++generation);
    UNSIGNED_LONGS_EQUAL(10, openMany(10));
    warmupRate = smallestRate;
    receiveView(++generation);
    UNSIGNED_LONGS_EQUAL(0, openMany(10));
}

TEST(opening_limit, withoutSlackOrRateOrCheckInThereIsNoLimit)
{
    UNSIGNED_LONGS_EQUAL(50, openMany(50));
    start(std::nullopt);
    checkIn(20 * second);
    UNSIGNED_LONGS_EQUAL(50, openMany(50));
    start(0, std::nullopt);
    checkIn(20 * second);
    UNSIGNED_LONGS_EQUAL(50, openMany(50));
}

TEST(opening_limit, aFlowWithoutATokenIsOfferedToAnotherAgentAndLogged)
{
    receivePeerReports();
    checkIn(20 * second);
    openMany(50);
    open(9000);
    CHECK(actionsOf<deliver_to_server>().empty());
    CHECK(actionsOf<send_packet>().front().packet.stage == packet_stage::offer);
    CHECK(actionsOf<flow_event>().front().kind == flow_event_kind::cold);
}

// The answer of the cold server may have been lost, so a caller that repeats its opening packet
// must get one from another server. The first server is not taken for a silent one because of it.
TEST(opening_limit, aRepeatedOpeningWithoutATokenIsOfferedToAnotherAgent)
{
    receivePeerReports();
    checkIn(20 * second);
    openMany(50);
    now += 200;
    receivePeerReports();
    open(lastDelivered, true);
    CHECK(actionsOf<deliver_to_server>().empty());
    CHECK(actionsOf<send_packet>().front().packet.stage == packet_stage::offer);
    now += 200;
    apply(tick {});
    CHECK_FALSE(state->server.isSilent);
}

TEST(opening_limit, aFlowIsRefusedAtOnceWhenTheWholeServiceIsCold)
{
    receivePeerReports(false);
    checkIn(20 * second);
    openMany(50);
    open(9000);
    CHECK(actionsOf<send_packet>().empty());
    CHECK(actionsOf<reset_caller>().front().reason == base::error_code::noServer);
}

// Each change costs a round of load reports, of which the budget covers two a second.
TEST(opening_limit, reportsDoNotChangeWithEachToken)
{
    start(20);
    checkIn(20 * second);
    std::size_t changes = 0;
    bool isAnnounced = true;
    for (std::int64_t i = 0; i < 500; ++i, now += 10) {
        openMany(1);
        const bool isAnnouncedNow = state->placement->ownLoad->slots.accepting;
        changes += isAnnounced != isAnnouncedNow ? 1 : 0;
        isAnnounced = isAnnouncedNow;
    }
    CHECK(changes >= 1);
    CHECK(changes <= 10);
    CHECK(delivered.size() >= 100);
}
