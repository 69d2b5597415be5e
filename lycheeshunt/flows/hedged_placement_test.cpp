// Where the second copy of an opening packet opens the flow when the first agent has registered it,
// and which server the caller's packets reach afterwards. Agent 0 is the flow's director, and agent
// 1 its backup, to which an entry sends the copy.

#include "lycheeshunt/flows/hedged_service_test.h"

#include <algorithm>

using namespace lycheeshunt;
using namespace lycheeshunt::flows;
using namespace lycheeshunt::flows::testing;

namespace {

using agents = std::vector<std::size_t>;

const base::clock_time beforeTimeout = base::clock_time::ofMillis(60);
const base::clock_time serverTimeout = base::clock_time::ofMillis(150);
const base::clock_time afterTimeout = base::clock_time::ofMillis(300);
// Half-open flows are forgotten after 5 s, and the end of a registration waits up to 2 s.
const base::clock_time afterCleanUp = base::clock_time::ofSeconds(20);

} // namespace

TEST_GROUP_BASE(hedged_placement, hedged_service) {};

// Guards against callers that wait for the first agent's time-out of 150 ms because the copy is led
// to the same silent server.
TEST(hedged_placement, aCopyOfAFlowAtASilentServerIsAnsweredAtOnceByAnother)
{
    startAgents(3);
    silentServers = {0};
    open();
    LONGS_EQUAL(0, *registeredAt(1));
    run(beforeTimeout);
    hedge();
    CHECK(openedAt == (agents {0, 1}));
    LONGS_EQUAL(1, *chosen);
    CHECK(flowAt(1)->phase == flow_phase::copied);
    request();
    LONGS_EQUAL(1, served);
    CHECK(triedAt == (agents {1}));
    LONGS_EQUAL(0, resets);
    LONGS_EQUAL(0, denied);
}

// Guards against an offer back to the silent server, and against one agent too few to try.
TEST(hedged_placement, aCopyIsOfferedToAThirdAgentWhenTheBackupHasNoRoom)
{
    startAgents(3);
    silentServers = {0};
    setServer(1, false);
    open();
    run(beforeTimeout);
    hedge();
    CHECK(openedAt == (agents {0, 2}));
    LONGS_EQUAL(2, *chosen);
    request();
    LONGS_EQUAL(1, served);
}

// Guards against second owners: only copies that an entry sends on its own go elsewhere.
TEST(hedged_placement, theCallersOwnCopyOfARegisteredFlowGoesToItsOwner)
{
    startAgents(3);
    silentServers = {0};
    open();
    repeatOpening();
    CHECK(openedAt == (agents {0, 0}));
}

// Guards against packets of an open flow that stay at the wrong one of two servers, and against a
// reset there: the first server answers after the second one.
TEST(hedged_placement, aFirstServerThatAnswersAfterTheSecondOneGetsNoOpenFlow)
{
    startAgents(3);
    silentServers = {0};
    open();
    run(beforeTimeout);
    hedge();
    silentServers.clear();
    answerOpening(0);
    // Through an entry without a hint, the packet comes to the first server once, which returns it.
    requestByOtherEntry();
    CHECK(triedAt == (agents {0, 1}));
    request();
    requestByOtherEntry();
    CHECK(triedAt == (agents {0, 1, 1, 1}));
    LONGS_EQUAL(3, served);
    CHECK(flowAt(0) == nullptr);
    CHECK(flowAt(1)->phase == flow_phase::open);
    run(afterCleanUp);
    LONGS_EQUAL(0, resets);
    LONGS_EQUAL(0, denied);
}

// Guards against the same when the caller has acknowledged the first server's answer, but the
// second server's hint was the first to reach the entry.
TEST(hedged_placement, aSecondServerWhoseAnswerComesLateGetsNoOpenFlow)
{
    startAgents(3);
    silentServers = {0};
    chosen = 0;
    open();
    run(beforeTimeout);
    hedge();
    silentServers.clear();
    answerOpening(0);
    request();
    CHECK(triedAt == (agents {1, 0}));
    request();
    CHECK(triedAt == (agents {1, 0, 0}));
    LONGS_EQUAL(2, served);
    CHECK(flowAt(1) == nullptr);
    run(afterCleanUp);
    CHECK(flowAt(0)->isClaimed());
    LONGS_EQUAL(0, resets);
    LONGS_EQUAL(0, denied);
}

// Guards against a third server that takes the flow over: the first agent gives its server up after
// 150 ms and offers the flow once more, after the caller has begun to use the second server.
TEST(hedged_placement, theFirstAgentsOwnTimeoutDoesNotMoveTheFlow)
{
    for (const bool isUsed : {false, true}) {
        for (const bool isLate : {false, true}) {
            startAgents(4);
            silentServers = {0};
            open();
            run(beforeTimeout);
            hedge();
            if (isUsed)
                request();
            run(afterTimeout);
            if (isLate) {
                silentServers.clear();
                answerOpening(0);
            }
            LONGS_EQUAL(1, *chosen);
            const std::size_t before = served;
            request();
            LONGS_EQUAL(before + 1, served);
            run(afterCleanUp);
            requestByOtherEntry();
            request();
            requestByOtherEntry();
            LONGS_EQUAL(before + 4, served);
            for (const std::size_t agent : agents {0, 2, 3})
                CHECK(flowAt(agent) == nullptr || !flowAt(agent)->isClaimed());
            // The first server returns one packet at most.
            CHECK(std::count(triedAt.begin(), triedAt.end(), 0) <= 1);
            LONGS_EQUAL(0, resets);
            LONGS_EQUAL(0, denied);
        }
    }
}

// Guards against a directory that names the silent server's agent for good. The second agent's
// registration is stored only after the first agent has withdrawn its own.
TEST(hedged_placement, theSecondAgentIsRegisteredAfterTheFirstOneHasGivenUp)
{
    startAgents(3);
    silentServers = {0};
    setServer(1, false);
    open();
    run(beforeTimeout);
    hedge();
    LONGS_EQUAL(0, *registeredAt(1));
    request();
    LONGS_EQUAL(1, served);
    // The first agent may still have the flow open.
    CHECK(flowAt(0)->isClaimed());
    LONGS_EQUAL(0, *registeredAt(1));
    run(afterCleanUp);
    CHECK(flowAt(0) == nullptr);
    LONGS_EQUAL(2, *registeredAt(0));
    LONGS_EQUAL(2, *registeredAt(1));
    requestByOtherEntry();
    LONGS_EQUAL(2, served);
    LONGS_EQUAL(0, resets);
    LONGS_EQUAL(0, denied);
}

// Guards against the same wait when the director has placed the flow at the backup, whose own
// server is then the silent one.
TEST(hedged_placement, aCopyThatComesToTheFirstAgentItselfIsOfferedToAnother)
{
    startAgents(3);
    silentServers = {1};
    setServer(0, false);
    setServer(2, false);
    run(afterTimeout);
    open();
    CHECK(openedAt == (agents {1}));
    setServer(2, true);
    run(beforeTimeout);
    hedge();
    CHECK(openedAt == (agents {1, 2}));
    LONGS_EQUAL(2, *chosen);
    CHECK(flowAt(1)->phase == flow_phase::opening);
    request();
    LONGS_EQUAL(1, served);
    // The first agent's time-out runs from its own delivery: it is over 90 ms after the copy, and
    // the next tick is 50 ms later.
    run(serverTimeout);
    CHECK(flowAt(1) == nullptr);
    request();
    LONGS_EQUAL(2, served);
    run(afterCleanUp);
    requestByOtherEntry();
    LONGS_EQUAL(3, served);
    LONGS_EQUAL(0, resets);
    LONGS_EQUAL(0, denied);
}

// Guards against a reset of a flow whose packets reach the silent server's agent, and against one
// that loses them for seconds: an entry without a hint uses a director that has registered that
// agent until the agent has given its server up.
TEST(hedged_placement, packetsByADirectorReachTheOwnerOnceTheSilentServerIsGivenUp)
{
    startAgents(4);
    silentServers = {2};
    for (const std::size_t agent : agents {0, 1, 3})
        setServer(agent, false);
    run(afterTimeout);
    open();
    setServer(3, true);
    run(beforeTimeout);
    hedge();
    CHECK(openedAt == (agents {2, 3}));
    for (std::size_t i = 1; i <= 20; ++i) {
        request();
        const std::size_t before = served;
        requestByOtherEntry();
        run(afterTimeout);
        LONGS_EQUAL(i > 1 ? 1 : 0, served - before);
    }
    LONGS_EQUAL(0, resets);
    LONGS_EQUAL(0, denied);
}

// Guards against an open flow that loses its packets or is reset: its opening was answered, but the
// hint was lost, and the copy comes when the caller already uses the first server.
TEST(hedged_placement, aCopyOfAnOpenFlowWhoseHintWasLostDoesNotTakeItsPackets)
{
    for (const bool hasRoomAtBackup : {true, false}) {
        startAgents(3);
        setServer(1, hasRoomAtBackup);
        losesHints = true;
        open();
        requestByOtherEntry();
        losesHints = false;
        hedge();
        const std::size_t second = hasRoomAtBackup ? 1 : 2;
        CHECK(openedAt == (agents {0, second}));
        // The entry's hint names the second server, which returns one packet.
        request();
        CHECK(triedAt == (agents {0, second, 0}));
        // A half-open connection repeats its answer.
        answerOpening(second);
        request();
        requestByOtherEntry();
        CHECK(triedAt == (agents {0, second, 0, 0, 0}));
        LONGS_EQUAL(4, served);
        CHECK_FALSE(registeredAt(0).has_value());
        run(afterCleanUp);
        request();
        requestByOtherEntry();
        LONGS_EQUAL(6, served);
        LONGS_EQUAL(0, *chosen);
        LONGS_EQUAL(0, resets);
        LONGS_EQUAL(0, denied);
    }
}

// Guards against a copy that is dropped where only the owner's server can answer it, even if that
// one takes no further flows.
TEST(hedged_placement, aCopyGoesToTheOwnerWhenNoOtherAgentHasRoom)
{
    startAgents(1);
    open();
    hedge();
    CHECK(openedAt == (agents {0, 0}));
    startAgents(3);
    silentServers = {0};
    setServer(1, false);
    setServer(2, false);
    open();
    setServer(0, false);
    // Long enough for a load report.
    run(base::clock_time::ofMillis(120));
    hedge();
    CHECK(openedAt == (agents {0, 0}));
    LONGS_EQUAL(0, resets);
    LONGS_EQUAL(0, denied);
}

// Guards against an open flow whose packets through one entry reach a silent server only: the entry
// got a hint of that server's agent because two packets had been delivered there, and none of them
// was returned.
TEST(hedged_placement, anEntryGetsNoHintOfASilentServer)
{
    for (const std::size_t count : agents {2, 3, 6}) {
        startAgents(count);
        silentServers = {0};
        open();
        run(base::clock_time::ofMillis(20));
        hedge();
        LONGS_EQUAL(1, *chosen);
        requestByOtherEntry();
        run(base::clock_time::ofMillis(100));
        requestByOtherEntry();
        run(afterTimeout);
        for (std::size_t i = 1; i <= 5; ++i) {
            requestByOtherEntry();
            run(afterTimeout);
        }
        CHECK(served >= 4);
        LONGS_EQUAL(0, resets);
        LONGS_EQUAL(0, denied);
    }
}
