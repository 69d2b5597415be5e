// Runs a table of faults on a small cluster: each once, twice in a row, and with lost, duplicated
// and delayed messages. Each fault returns the flows that it breaks; no others may break.

#include "lycheeshunt/flows/fake_cluster_test.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using namespace lycheeshunt::flows;

namespace {

using connection_state = fake_caller::connection_state;

const base::endpoint logbookAddress {0xc0000201, 443};
const base::endpoint inspectAddress {0xc0000202, 443};
constexpr std::size_t logbookFlows = 120;
constexpr std::size_t inspectFlows = 40;
constexpr base::clock_time settleTime = base::clock_time::ofSeconds(3);
// Callers retransmit an unanswered packet for about this long.
constexpr base::clock_time retransmissionPeriod = base::clock_time::ofSeconds(40);

using caller_set = std::set<std::size_t>;

// Causes a fault and returns the flows that it breaks inevitably.
struct fault
{
    const char *name;
    caller_set (*inject)(fake_cluster &);
};

caller_set killAndEvict(fake_cluster &cluster, const std::string &name)
{
    caller_set lost = cluster.callers().openAt(name);
    cluster.killVm(name);
    cluster.run(base::clock_time::ofSeconds(1));
    cluster.membership().evict(name);
    cluster.publish();
    return lost;
}

std::string pick(fake_cluster &cluster, const std::string &service)
{
    const std::vector<std::string> names = cluster.agentsOf(service);
    return names[cluster.network().random(names.size() - 1)];
}

std::string pickAlive(fake_cluster &cluster, const std::string &service)
{
    std::string name = pick(cluster, service);
    while (!cluster.isAlive(name) || cluster.callers().openAt(name).empty())
        name = pick(cluster, service);
    return name;
}

void changeMembership(fake_cluster &cluster, std::size_t changes)
{
    for (std::size_t i = 0; i < changes; ++i) {
        const std::string name = pick(cluster, "logbook");
        cluster.membership().drain(name, i % 2 == 0);
        if (i % 2 != 0) {
            for (const std::string &each : cluster.agentsOf("logbook"))
                cluster.membership().drain(each, false);
        }
        cluster.publish(base::clock_time::ofMillis(20));
        cluster.run(base::clock_time::ofMillis(50));
    }
}

caller_set staleEntry(fake_cluster &cluster)
{
    cluster.freezeEntry(0, true);
    changeMembership(cluster, 300);
    return {};
}

caller_set twoGenerationsForAMinute(fake_cluster &cluster)
{
    cluster.freezeEntry(1, true);
    cluster.membership().drain(pick(cluster, "logbook"), true);
    cluster.publish();
    for (int second = 0; second < 60; ++second) {
        cluster.openFlows(logbookAddress, 1);
        cluster.callers().sendOnAll(cluster.network().now());
        cluster.run(base::clock_time::ofSeconds(1));
    }
    cluster.freezeEntry(1, false);
    cluster.publish();
    return {};
}

caller_set directorDies(fake_cluster &cluster)
{
    return killAndEvict(cluster, pickAlive(cluster, "logbook"));
}

caller_set directorAndBackupDieTogether(fake_cluster &cluster)
{
    const std::string first = pickAlive(cluster, "logbook");
    std::string second = pickAlive(cluster, "logbook");
    while (second == first)
        second = pickAlive(cluster, "logbook");
    caller_set lost = cluster.callers().openAt(second);
    cluster.killVm(second);
    cluster.membership().evict(second);
    lost.merge(killAndEvict(cluster, first));
    return lost;
}

caller_set ownerDrainsDuringDirectorChange(fake_cluster &cluster)
{
    cluster.membership().drain(pickAlive(cluster, "logbook"), true);
    cluster.publish(base::clock_time::ofMillis(500));
    cluster.addAgent("logbook-new-" + std::to_string(cluster.network().random(1000)), "logbook",
                     "zone-9");
    cluster.publish(base::clock_time::ofMillis(500));
    cluster.callers().sendOnAll(cluster.network().now());
    return {};
}

caller_set agentRestarts(fake_cluster &cluster)
{
    cluster.restartAgent(pickAlive(cluster, "logbook"));
    cluster.publish();
    cluster.callers().sendOnAll(cluster.network().now());
    return {};
}

caller_set serverRestarts(fake_cluster &cluster)
{
    const std::string name = pickAlive(cluster, "logbook");
    caller_set lost = cluster.callers().openAt(name);
    cluster.restartServer(name);
    return lost;
}

caller_set vmReturnsAsTheOtherService(fake_cluster &cluster)
{
    const std::string name = pickAlive(cluster, "logbook");
    caller_set lost = cluster.callers().openAt(name);
    cluster.replaceVm(name, "inspect");
    cluster.callers().sendOnAll(cluster.network().now());
    cluster.run(base::clock_time::ofMillis(200));
    cluster.publish(base::clock_time::ofSeconds(1));
    return lost;
}

caller_set zoneIsLost(fake_cluster &cluster)
{
    caller_set lost;
    for (const std::string &name :
         cluster.agentsIn("zone-" + std::to_string(cluster.network().random(1)))) {
        lost.merge(cluster.callers().openAt(name));
        cluster.killVm(name);
        cluster.membership().evict(name);
    }
    cluster.callers().sendOnAll(cluster.network().now());
    cluster.run(base::clock_time::ofSeconds(1));
    cluster.publish();
    return lost;
}

void openThroughAllEntries(fake_cluster &cluster)
{
    const std::size_t caller = cluster.openFlows(logbookAddress, 1).front();
    for (std::size_t i = 0; i < 3; ++i)
        cluster.sendThrough(i, cluster.callers().summaryOf(caller));
}

caller_set firstPacketThroughEveryEntry(fake_cluster &cluster)
{
    cluster.freezeEntry(2, true);
    cluster.addAgent("logbook-late-" + std::to_string(cluster.network().random(1000)), "logbook",
                     "zone-9");
    cluster.publish(base::clock_time::ofMillis(300));
    for (int i = 0; i < 60; ++i) {
        openThroughAllEntries(cluster);
        cluster.run(base::clock_time::ofMillis(5));
    }
    cluster.freezeEntry(2, false);
    cluster.publish();
    return {};
}

caller_set addressReusedWithinASecond(fake_cluster &cluster)
{
    const std::vector<std::size_t> callers = cluster.openFlows(logbookAddress, 20);
    cluster.run(settleTime);
    for (const std::size_t caller : callers)
        cluster.callers().close(caller, cluster.network().now());
    cluster.run(base::clock_time::ofMillis(800));
    for (const std::size_t caller : callers)
        cluster.callers().reopen(caller, cluster.network().now());
    return {};
}

constexpr fault faults[] = {
    {"an entry 300 generations behind", staleEntry},
    {"two entries on different generations for a minute", twoGenerationsForAMinute},
    {"director dies", directorDies},
    {"director and backup die together", directorAndBackupDieTogether},
    {"owner drains during a director change", ownerDrainsDuringDirectorChange},
    {"agent restarts, its server and flows live on", agentRestarts},
    {"backend server restarts on the same address", serverRestarts},
    {"VM comes back as the other service", vmReturnsAsTheOtherService},
    {"availability zone lost", zoneIsLost},
    {"first packet through every entry at once", firstPacketThroughEveryEntry},
    {"address reused within a second", addressReusedWithinASecond},
};

void setUp(fake_cluster &cluster)
{
    cluster.membership().define("logbook", {logbookAddress}, 2000);
    cluster.membership().define("inspect", {inspectAddress}, 2000);
    for (int i = 1; i <= 7; ++i)
        cluster.addAgent("logbook-" + std::to_string(i), "logbook",
                         "zone-" + std::to_string(i % 4));
    for (int i = 1; i <= 4; ++i)
        cluster.addAgent("inspect-" + std::to_string(i), "inspect",
                         "zone-" + std::to_string(i % 4));
    cluster.publish();
    cluster.run(settleTime);
    cluster.openFlows(logbookAddress, logbookFlows);
    cluster.openFlows(inspectAddress, inspectFlows);
    cluster.run(settleTime);
    LONGS_EQUAL(logbookFlows + inspectFlows,
                cluster.callers().inState(connection_state::open).size());
}

void checkOutcome(fake_cluster &cluster, const fault &scenario, const caller_set &lost)
{
    for (int i = 0; i < 3; ++i) {
        cluster.callers().sendOnAll(cluster.network().now());
        cluster.run(retransmissionPeriod);
    }
    const caller_set broken = cluster.callers().inState(connection_state::broken);
    CHECK_TEXT(lost == broken, scenario.name);
    LONGS_EQUAL_TEXT(0, cluster.callers().inState(connection_state::silent).size(), scenario.name);
    LONGS_EQUAL_TEXT(0, cluster.callers().countSplit(), scenario.name);
    LONGS_EQUAL_TEXT(0, cluster.wrongService(), scenario.name);
    LONGS_EQUAL_TEXT(0, cluster.callers().inState(connection_state::opening).size(), scenario.name);
    LONGS_EQUAL_TEXT(0, cluster.callers().inState(connection_state::refused).size(), scenario.name);
}

void runScenario(const fault &scenario, std::uint64_t seed, const fake_network::faults &network,
                 int times)
{
    fake_cluster cluster(seed, network);
    setUp(cluster);
    caller_set lost;
    for (int i = 0; i < times; ++i) {
        lost.merge(scenario.inject(cluster));
        cluster.run(settleTime);
    }
    checkOutcome(cluster, scenario, lost);
}

constexpr std::uint64_t seeds[] = {11, 12, 13};
const fake_network::faults reliable {};
const fake_network::faults unreliable {0.02, 0.02, 30};

} // namespace

TEST_GROUP(flow_faults) {};

TEST(flow_faults, eachFaultBreaksOnlyTheFlowsItCannotKeep)
{
    for (const fault &each : faults) {
        for (const std::uint64_t seed : seeds)
            runScenario(each, seed, reliable, 1);
    }
}

TEST(flow_faults, eachFaultTwiceInARowBreaksOnlyTheFlowsItCannotKeep)
{
    for (const fault &each : faults) {
        for (const std::uint64_t seed : seeds)
            runScenario(each, seed, reliable, 2);
    }
}

TEST(flow_faults, lostDuplicatedAndReorderedMessagesBreakNoFurtherFlows)
{
    for (const fault &each : faults) {
        for (const std::uint64_t seed : seeds)
            runScenario(each, seed, unreliable, 2);
    }
}
