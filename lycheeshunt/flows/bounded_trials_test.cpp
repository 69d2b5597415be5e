// How often packets of a flow reach servers that do not have it, where all agents have restarted.

#include "lycheeshunt/flows/restarted_service_test.h"

using namespace lycheeshunt;
using namespace lycheeshunt::flows;
using namespace lycheeshunt::flows::testing;

namespace {

constexpr std::size_t manyAgents = 42;
// More than one packet can list.
constexpr std::size_t veryManyAgents = 163;

} // namespace

TEST_GROUP_BASE(bounded_trials, restarted_service) {
    // A caller that gets no answer retransmits its packet with growing pauses.
    void retransmit(base::clock_time span) {base::clock_time pause
                                            = base::clock_time::ofMillis(200);
for (base::clock_time sent; sent < span; sent = sent + pause) {
    sendPacket();
    run(pause);
    pause = std::min(pause * 2, base::clock_time::ofMillis(1600));
}
}
}
;

// Guards against packets that are tried in vain while one agent is dead and its server runs: they
// keep the agents busy, and a caller whose packets reach other servers for 2 s counts its flow as
// broken.
TEST(bounded_trials, noServerGetsTwoPacketsOfAFlowWhoseAgentIsDead)
{
    for (const std::size_t agents : {manyAgents, veryManyAgents}) {
        startAgents(agents);
        const std::size_t dead = (director() + 1) % agents;
        setOwner(dead);
        setDeadAgent(dead);
        returned = 0;
        retransmit(base::clock_time::ofSeconds(8));
        CHECK(returned <= agents - 1);
        LONGS_EQUAL(0, deniedCertain + resets);
        CHECK(lastReturnAfterFirst() < base::clock_time::ofSeconds(2));
    }
}

// Guards against flows that stay lost because the servers that returned their packets are not tried
// again: the agent beside the right one comes back.
TEST(bounded_trials, aFlowIsFoundOnceItsAgentIsBack)
{
    startAgents(manyAgents);
    const std::size_t dead = (director() + 1) % manyAgents;
    setOwner(dead);
    setDeadAgent(dead);
    retransmit(base::clock_time::ofMillis(400));
    setDeadAgent(std::nullopt);
    served = 0;
    sendPacket();
    run(base::clock_time::ofSeconds(1));
    LONGS_EQUAL(1, served);
}

// Guards against a search that takes longer than callers wait, where every agent of a large service
// has restarted: the agents next to the director come first.
TEST(bounded_trials, aFlowOfANeighbourOfTheDirectorIsFoundAtOnce)
{
    startAgents(veryManyAgents);
    const std::vector<std::size_t> ring = agentsByIdentifier();
    const std::size_t centre
        = static_cast<std::size_t>(std::find(ring.begin(), ring.end(), director()) - ring.begin());
    setOwner(ring[(centre + veryManyAgents - 8) % veryManyAgents]);
    sendPacket();
    run(base::clock_time::ofMillis(300));
    LONGS_EQUAL(1, served);
    CHECK(returned <= 17);
}

// Guards against two trials of one flow at once, which reach every server twice: packets of the
// flow arrive while another one is on its way from server to server.
TEST(bounded_trials, packetsThatArriveDuringATrialBeginNoOtherOne)
{
    startAgents(manyAgents);
    setOwner((director() + 20) % manyAgents);
    for (std::size_t i = 0; i < 20; ++i) {
        sendPacket();
        run(base::clock_time::ofMillis(20));
    }
    CHECK(served > 0);
    CHECK(returned <= manyAgents - 1);
    LONGS_EQUAL(0, deniedCertain + resets);
}

// Guards against packets that two agents with outdated entries pass between each other.
TEST(bounded_trials, aFlowIsFoundAlthoughOutdatedEntriesNameAgentsThatDoNotHaveIt)
{
    startAgents(manyAgents);
    setOwner((director() + 5) % manyAgents);
    const std::size_t wrong = (director() + 1) % manyAgents;
    const std::size_t other = (director() + 2) % manyAgents;
    registerAt(director(), wrong);
    registerAt(wrong, other);
    registerAt(other, wrong);
    std::size_t packets = 0;
    for (; packets < 3 && served == 0; ++packets) {
        sendPacket();
        run(base::clock_time::ofMillis(500));
    }
    CHECK(served > 0);
    LONGS_EQUAL(0, deniedCertain + resets);
    // From then on every packet arrives.
    served = 0;
    for (std::size_t i = 0; i < 40; ++i) {
        sendPacket();
        run(base::clock_time::ofMillis(50));
    }
    LONGS_EQUAL(40, served);
}
