// Replays the recorded membership changes and checks which flows break.

#include "lycheeshunt/flows/trace_replay_test.h"

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt::flows;

TEST_GROUP(flow_trace) {};

TEST(flow_trace, threeHundredMembershipChangesBreakOnlyFlowsOfDeadServers)
{
    const std::string path = std::string(LYCHEESHUNT_SOURCE_DIR) + "/traces/membership-300.txt";
    trace_replay replay(21);
    const trace_outcome outcome = replay.play(readTrace(path));
    LONGS_EQUAL(300, outcome.changes);
    CHECK(outcome.lostWithServers > 0);
    LONGS_EQUAL(0, outcome.brokenByPlannedChange);
    LONGS_EQUAL(outcome.lostWithServers, outcome.broken);
    LONGS_EQUAL(0, outcome.notReset);
    LONGS_EQUAL(0, outcome.wrongService);
    LONGS_EQUAL(0, outcome.split);
    CHECK(outcome.brokenWithHashing > 0);
}
