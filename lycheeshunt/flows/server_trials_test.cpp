// Search for a flow among the servers of agents that have restarted: a caller's open flow is reset
// only if every server that may hold it has returned its packet.

#include "lycheeshunt/flows/restarted_service_test.h"

using namespace lycheeshunt;
using namespace lycheeshunt::flows;
using namespace lycheeshunt::flows::testing;

namespace {

// More than one packet can list.
constexpr std::size_t manyAgents = 42;

} // namespace

TEST_GROUP_BASE(server_trials, restarted_service) {};

// Guards against resets of open flows whose server is not among the first candidates of a trial.
TEST(server_trials, aFlowIsFoundAtAnyOfManyServersOfRestartedAgents)
{
    startAgents(manyAgents);
    for (std::size_t owner = 0; owner < manyAgents; ++owner) {
        ++callerPort;
        setOwner(owner);
        served = 0;
        sendPacket();
        run(base::clock_time::ofSeconds(1));
        LONGS_EQUAL(1, served);
    }
    LONGS_EQUAL(0, deniedCertain);
    LONGS_EQUAL(0, resets);
}

// Guards against callers that wait for a flow which every server has returned.
TEST(server_trials, aFlowThatNoServerHoldsIsReportedWithoutDoubt)
{
    startAgents(manyAgents);
    sendPacket();
    run(base::clock_time::ofSeconds(1));
    LONGS_EQUAL(manyAgents, returned);
    LONGS_EQUAL(1, deniedCertain);
    LONGS_EQUAL(0, deniedDoubtful);
}

// Guards against resets by a director that leaves out its own server when another agent passed the
// packet on.
TEST(server_trials, aFlowOfTheDirectorsServerIsFoundWhenAnotherAgentPassesItsPacketOn)
{
    startAgents(3);
    setOwner(director());
    sendTo((director() + 1) % 3, packet_stage::toDirector);
    run(base::clock_time::ofSeconds(1));
    LONGS_EQUAL(1, served);
    LONGS_EQUAL(0, deniedCertain);
}

// Guards against resets of flows whose owner is not among the first agents that are queried.
TEST(server_trials, aFlowIsFoundAtTheOnlyRestartedAgentOfALargeService)
{
    constexpr std::size_t largeService = 100;
    constexpr std::size_t stride = 9;
    startAgents(largeService);
    for (std::size_t agent = 0; agent < largeService; ++agent)
        setServerAge(agent, false);
    for (std::size_t owner = 0; owner < largeService; owner += stride) {
        ++callerPort;
        setOwner(owner);
        setServerAge(owner, true);
        served = 0;
        sendPacket();
        run(base::clock_time::ofSeconds(1));
        LONGS_EQUAL(1, served);
        setServerAge(owner, false);
    }
    LONGS_EQUAL(0, deniedCertain);
}

// Guards against resets when a candidate has left the view before its server was tried.
TEST(server_trials, aFlowIsDoubtfulWhenACandidateIsNotInTheView)
{
    startAgents(3);
    sendTo(director(), packet_stage::trial, {nodeOf("agent-9")});
    run(base::clock_time::ofSeconds(1));
    LONGS_EQUAL(0, deniedCertain);
    LONGS_EQUAL(1, deniedDoubtful);
}

// Guards against packets that go round between a director and an agent whose server has returned
// them, and never reach the server that has the flow.
TEST(server_trials, laterPacketsReachTheServerAtWhichTheFirstWasFound)
{
    constexpr std::size_t agents = 4;
    constexpr std::size_t packets = 5;
    startAgents(agents);
    setOwner((director() + agents - 1) % agents);
    for (std::size_t i = 0; i < packets; ++i) {
        sendPacket();
        run(base::clock_time::ofMillis(200));
    }
    LONGS_EQUAL(packets, served);
    // Each other server returns the first packet at most once.
    CHECK(returned < agents);
    LONGS_EQUAL(0, deniedCertain + deniedDoubtful + resets);
}

// Guards against flows whose packets reach other servers but never their own, because a server that
// is tried before it is dead or frozen.
TEST(server_trials, aFlowIsFoundAlthoughAnotherServerIsSilent)
{
    constexpr std::size_t agents = 4;
    startAgents(agents);
    for (std::size_t i = 0; i < agents; ++i) {
        ++callerPort;
        setOwner(i);
        setSilentServers({(i + 1) % agents});
        served = 0;
        sendPacket();
        run(base::clock_time::ofSeconds(1));
        LONGS_EQUAL(1, served);
        sendPacket();
        run(base::clock_time::ofSeconds(1));
        LONGS_EQUAL(2, served);
    }
    LONGS_EQUAL(0, deniedCertain + resets);
}

// Guards against resets of flows whose own server is frozen while it is tried, also where a packet
// cannot list every candidate.
TEST(server_trials, aFlowThatASilentServerMayHaveIsDoubtful)
{
    startAgents(manyAgents);
    for (std::size_t silent = 0; silent < manyAgents; silent += 5) {
        ++callerPort;
        setSilentServers({silent});
        sendPacket();
        run(base::clock_time::ofSeconds(1));
    }
    LONGS_EQUAL(0, deniedCertain + resets);
    CHECK(deniedDoubtful > 0);
}

// Guards against packets that go round between silent servers.
TEST(server_trials, aTrialEndsAlthoughSeveralServersAreSilent)
{
    startAgents(6);
    setSilentServers({0, 1, 2, 3, 4});
    sendPacket();
    run(base::clock_time::ofSeconds(5));
    LONGS_EQUAL(1, returned);
    LONGS_EQUAL(1, deniedDoubtful);
    LONGS_EQUAL(0, deniedCertain + resets);
}

// Guards against flows that are not found in a service with more servers than a packet can list.
TEST(server_trials, aFlowOfAnyServerOfAVeryLargeServiceIsFoundInAFewPackets)
{
    constexpr std::size_t agents = 100;
    constexpr std::size_t packets = 5;
    startAgents(agents);
    for (std::size_t owner = 0; owner < agents; owner += 11) {
        ++callerPort;
        setOwner(owner);
        served = 0;
        for (std::size_t i = 0; i < packets && served == 0; ++i) {
            sendPacket();
            run(base::clock_time::ofSeconds(1));
        }
        LONGS_EQUAL(1, served);
    }
    LONGS_EQUAL(0, deniedCertain + resets);
}

// Guards against flows of restarted agents that are not found as long as one agent is dead and
// still in the view.
TEST(server_trials, aFlowIsFoundAlthoughAnotherAgentIsDead)
{
    // More than are queried in the time after which servers are tried.
    constexpr std::size_t agents = 60;
    constexpr std::size_t packets = 3;
    startAgents(agents);
    for (std::size_t i = 1; i < agents; i += 8) {
        ++callerPort;
        setOwner((director() + i) % agents);
        setDeadAgent((director() + i + 1) % agents);
        served = 0;
        for (std::size_t sent = 0; sent < packets; ++sent) {
            sendPacket();
            run(base::clock_time::ofSeconds(1));
        }
        CHECK(served > 0);
    }
    LONGS_EQUAL(0, deniedCertain + resets);
}

// Guards against resets of flows at the server of a director whose entry names another agent.
TEST(server_trials, aFlowOfADirectorWhoseEntryIsOutOfDateIsFound)
{
    startAgents(4);
    setOwner(director());
    registerAt(director(), (director() + 1) % 4);
    sendPacket();
    run(base::clock_time::ofSeconds(1));
    LONGS_EQUAL(1, served);
    LONGS_EQUAL(0, deniedCertain + resets);
}

// Guards against flows of restarted agents that are not found as long as their director is dead and
// still in the view.
TEST(server_trials, aFlowIsFoundAlthoughItsDirectorIsDead)
{
    startAgents(4);
    setOwner((director() + 1) % 4);
    setDeadAgent(director());
    constexpr std::size_t packets = 3;
    for (std::size_t i = 0; i < packets; ++i) {
        sendTo((director() + 2) % 4, packet_stage::toDirector);
        run(base::clock_time::ofSeconds(1));
    }
    CHECK(served > 0);
    LONGS_EQUAL(0, deniedCertain + resets);
}
