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

caller_set killAndEvict(fake_cluster &all, const std::string &name)
{
    caller_set lost = all.callers().openAt(name);
    all.killVm(name);
    all.run(base::clock_time::ofSeconds(1));
    all.membership().evict(name);
    all.publish();
    return lost;
}

std::string pick(fake_cluster &all, const std::string &service)
{
    const std::vector<std::string> names = all.agentsOf(service);
    return names[all.network().random(names.size() - 1)];
}

std::string pickAlive(fake_cluster &all, const std::string &service)
{
    std::string name = pick(all, service);
    while (!all.isAlive(name) || all.callers().openAt(name).empty())
        name = pick(all, service);
    return name;
}

void changeMembership(fake_cluster &all, std::size_t changes)
{
    for (std::size_t i = 0; i < changes; ++i) {
        const std::string name = pick(all, "logbook");
        all.membership().drain(name, i % 2 == 0);
        if (i % 2 != 0) {
            for (const std::string &each : all.agentsOf("logbook"))
                all.membership().drain(each, false);
        }
        all.publish(base::clock_time::ofMillis(20));
        all.run(base::clock_time::ofMillis(50));
    }
}

caller_set staleEntry(fake_cluster &all)
{
    all.freezeEntry(0, true);
    changeMembership(all, 300);
    return {};
}

caller_set twoGenerationsForAMinute(fake_cluster &all)
{
    all.freezeEntry(1, true);
    all.membership().drain(pick(all, "logbook"), true);
    all.publish();
    for (int second = 0; second < 60; ++second) {
        all.openFlows(logbookAddress, 1);
        all.callers().sendOnAll(all.network().now());
        all.run(base::clock_time::ofSeconds(1));
    }
    all.freezeEntry(1, false);
    all.publish();
    return {};
}

caller_set directorDies(fake_cluster &all)
{
    return killAndEvict(all, pickAlive(all, "logbook"));
}

caller_set directorAndBackupDieTogether(fake_cluster &all)
{
    const std::string first = pickAlive(all, "logbook");
    std::string second = pickAlive(all, "logbook");
    while (second == first)
        second = pickAlive(all, "logbook");
    caller_set lost = all.callers().openAt(second);
    all.killVm(second);
    all.membership().evict(second);
    lost.merge(killAndEvict(all, first));
    return lost;
}

caller_set ownerDrainsDuringDirectorChange(fake_cluster &all)
{
    all.membership().drain(pickAlive(all, "logbook"), true);
    all.publish(base::clock_time::ofMillis(500));
    all.addAgent("logbook-new-" + std::to_string(all.network().random(1000)), "logbook", "zone-9");
    all.publish(base::clock_time::ofMillis(500));
    all.callers().sendOnAll(all.network().now());
    return {};
}

caller_set agentRestarts(fake_cluster &all)
{
    all.restartAgent(pickAlive(all, "logbook"));
    all.publish();
    all.callers().sendOnAll(all.network().now());
    return {};
}

caller_set serverRestarts(fake_cluster &all)
{
    const std::string name = pickAlive(all, "logbook");
    caller_set lost = all.callers().openAt(name);
    all.restartServer(name);
    return lost;
}

caller_set vmReturnsAsTheOtherService(fake_cluster &all)
{
    const std::string name = pickAlive(all, "logbook");
    caller_set lost = all.callers().openAt(name);
    all.replaceVm(name, "inspect");
    all.callers().sendOnAll(all.network().now());
    all.run(base::clock_time::ofMillis(200));
    all.publish(base::clock_time::ofSeconds(1));
    return lost;
}

caller_set zoneIsLost(fake_cluster &all)
{
    caller_set lost;
    for (const std::string &name :
         all.agentsIn("zone-" + std::to_string(all.network().random(1)))) {
        lost.merge(all.callers().openAt(name));
        all.killVm(name);
        all.membership().evict(name);
    }
    all.callers().sendOnAll(all.network().now());
    all.run(base::clock_time::ofSeconds(1));
    all.publish();
    return lost;
}

void openThroughAllEntries(fake_cluster &all)
{
    const std::size_t caller = all.openFlows(logbookAddress, 1).front();
    for (std::size_t i = 0; i < 3; ++i)
        all.sendThrough(i, all.callers().summaryOf(caller));
}

caller_set firstPacketThroughEveryEntry(fake_cluster &all)
{
    all.freezeEntry(2, true);
    all.addAgent("logbook-late-" + std::to_string(all.network().random(1000)), "logbook", "zone-9");
    all.publish(base::clock_time::ofMillis(300));
    for (int i = 0; i < 60; ++i) {
        openThroughAllEntries(all);
        all.run(base::clock_time::ofMillis(5));
    }
    all.freezeEntry(2, false);
    all.publish();
    return {};
}

caller_set addressReusedWithinASecond(fake_cluster &all)
{
    const std::vector<std::size_t> callers = all.openFlows(logbookAddress, 20);
    all.run(settleTime);
    for (const std::size_t caller : callers)
        all.callers().close(caller, all.network().now());
    all.run(base::clock_time::ofMillis(800));
    for (const std::size_t caller : callers)
        all.callers().reopen(caller, all.network().now());
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

void setUp(fake_cluster &all)
{
    all.membership().define("logbook", {logbookAddress}, 2000);
    all.membership().define("inspect", {inspectAddress}, 2000);
    for (int i = 1; i <= 7; ++i)
        all.addAgent("logbook-" + std::to_string(i), "logbook", "zone-" + std::to_string(i % 4));
    for (int i = 1; i <= 4; ++i)
        all.addAgent("inspect-" + std::to_string(i), "inspect", "zone-" + std::to_string(i % 4));
    all.publish();
    all.run(settleTime);
    all.openFlows(logbookAddress, logbookFlows);
    all.openFlows(inspectAddress, inspectFlows);
    all.run(settleTime);
    LONGS_EQUAL(logbookFlows + inspectFlows, all.callers().inState(connection_state::open).size());
}

void checkOutcome(fake_cluster &all, const fault &scenario, const caller_set &lost)
{
    for (int i = 0; i < 3; ++i) {
        all.callers().sendOnAll(all.network().now());
        all.run(retransmissionPeriod);
    }
    const caller_set broken = all.callers().inState(connection_state::broken);
    CHECK_TEXT(lost == broken, scenario.name);
    LONGS_EQUAL_TEXT(0, all.callers().inState(connection_state::silent).size(), scenario.name);
    LONGS_EQUAL_TEXT(0, all.callers().countSplit(), scenario.name);
    LONGS_EQUAL_TEXT(0, all.wrongService(), scenario.name);
    LONGS_EQUAL_TEXT(0, all.callers().inState(connection_state::opening).size(), scenario.name);
    LONGS_EQUAL_TEXT(0, all.callers().inState(connection_state::refused).size(), scenario.name);
}

void runScenario(const fault &scenario, std::uint64_t seed, const fake_network::faults &network,
                 int times)
{
    fake_cluster all(seed, network);
    setUp(all);
    caller_set lost;
    for (int i = 0; i < times; ++i) {
        lost.merge(scenario.inject(all));
        all.run(settleTime);
    }
    checkOutcome(all, scenario, lost);
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
