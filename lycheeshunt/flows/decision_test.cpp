// Drives routing and flow decisions as another front end would: with values in and out and a given
// time, without sockets and threads.

#include "lycheeshunt/flows/fake_cluster_test.h"

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using namespace lycheeshunt::flows;

namespace {

using connection_state = fake_caller::connection_state;

const base::endpoint address {0xc0000201, 443};
constexpr base::clock_time settleTime = base::clock_time::ofSeconds(3);

class small_service
{
public:
    explicit small_service(std::size_t agents, std::uint32_t connections = 2000)
        : cluster(1, fake_network::faults {})
    {
        cluster.membership().define("logbook", {address}, connections);
        for (std::size_t i = 1; i <= agents; ++i)
            cluster.addAgent(std::string("a") + std::to_string(i), "logbook", "zone-1");
        settle();
    }

    void settle()
    {
        cluster.publish();
        cluster.run(settleTime);
    }

    forwarded_packet packetFor(const std::string &agent, const packets::ip_summary &summary)
    {
        const membership::member &to = cluster.memberOf(agent);
        return forwarded_packet {
            to.service, to.incarnation, cluster.membership().view()->at, packet_stage::toDirector,
            0,          summary,        cluster.addPacket(summary, {})};
    }

    std::size_t countServersOf(std::size_t caller)
    {
        std::size_t servers = 0;
        for (const std::string &name : cluster.agentsOf("logbook"))
            servers += cluster.serverHas(name, cluster.callers().keyOf(caller)) ? 1 : 0;
        return servers;
    }

    fake_cluster cluster;
};

} // namespace

TEST_GROUP(flow_decision) {};

TEST(flow_decision, aPacketOfAnUnknownFlowIsResetAfterEveryAgentWasQueried)
{
    small_service service(3);
    // After this time, no agent counts as recently started, so none adopts an unknown flow.
    service.cluster.run(base::clock_time::ofSeconds(1000));
    const packets::ip_summary stray {base::flow_key {base::endpoint {0x0a000009, 9}, address, 6},
                                     false};
    service.cluster.sendThrough(0, stray);
    service.cluster.run(settleTime);
    LONGS_EQUAL(1, service.cluster.refusals(base::error_code::flowUnknown));
}

TEST(flow_decision, aFirstPacketAtDirectorAndBackupOpensOneFlow)
{
    small_service service(4);
    for (int i = 0; i < 50; ++i) {
        const std::size_t caller = service.cluster.openFlows(address, 1).front();
        const packets::ip_summary first = service.cluster.callers().summaryOf(caller);
        for (const std::string &name : service.cluster.agentsOf("logbook"))
            service.cluster.inject(name, service.packetFor(name, first));
        service.cluster.run(settleTime);
        LONGS_EQUAL(1, service.countServersOf(caller));
    }
    LONGS_EQUAL(0, service.cluster.callers().countSplit());
}

TEST(flow_decision, aDrainingAgentRefusesNewFlowsAndKeepsOldOnes)
{
    small_service service(3);
    service.cluster.openFlows(address, 60);
    service.cluster.run(settleTime);
    const std::size_t kept = service.cluster.callers().openAt("a1").size();
    CHECK(kept > 0);
    service.cluster.membership().drain("a1", true);
    // Every entry keeps routing by the old view.
    for (std::size_t i = 0; i < 3; ++i)
        service.cluster.freezeEntry(i, true);
    service.settle();
    service.cluster.openFlows(address, 60);
    service.cluster.callers().sendOnAll(service.cluster.network().now());
    service.cluster.run(settleTime);
    LONGS_EQUAL(kept, service.cluster.callers().openAt("a1").size());
    LONGS_EQUAL(120, service.cluster.callers().inState(connection_state::open).size());
}

TEST(flow_decision, aFullServiceRefusesNewFlowsByCodeAndKeepsOldOnes)
{
    constexpr std::uint32_t connections = 10;
    small_service service(2, connections);
    service.cluster.openFlows(address, 60);
    service.cluster.run(settleTime);
    LONGS_EQUAL(20, service.cluster.callers().inState(connection_state::open).size());
    LONGS_EQUAL(40, service.cluster.callers().inState(connection_state::refused).size());
    LONGS_EQUAL(40, service.cluster.refusals(base::error_code::flowTableFull));
    service.cluster.callers().sendOnAll(service.cluster.network().now());
    service.cluster.run(settleTime);
    LONGS_EQUAL(20, service.cluster.callers().inState(connection_state::open).size());
}

TEST(flow_decision, packetsForAnotherServiceOrIncarnationAreRefusedByCode)
{
    small_service service(2);
    const packets::ip_summary first {base::flow_key {base::endpoint {0x0a000009, 9}, address, 6},
                                     true};
    const forwarded_packet valid = service.packetFor("a1", first);
    service.cluster.inject("a1",
                           forwarded_packet {base::serviceIdOf("inspect"), valid.incarnation,
                                             valid.at, valid.stage, 0, first, valid.bytes});
    service.cluster.inject("a1",
                           forwarded_packet {valid.service, base::incarnation(99), valid.at,
                                             valid.stage, 0, first, valid.bytes});
    LONGS_EQUAL(1, service.cluster.refusals(base::error_code::wrongService));
    LONGS_EQUAL(1, service.cluster.refusals(base::error_code::wrongIncarnation));
    LONGS_EQUAL(0, service.cluster.stateOf("a1").owned.size());
}

TEST(flow_decision, anAddressThatMovedToAnotherServiceOpensNoFlowAtTheOldOne)
{
    small_service service(2);
    const base::endpoint other {0xc0000209, 443};
    service.cluster.openFlows(address, 10);
    service.cluster.run(settleTime);
    // The entries do not receive the new view.
    for (std::size_t i = 0; i < 3; ++i)
        service.cluster.freezeEntry(i, true);
    service.cluster.membership().define("logbook", {other}, 2000);
    service.settle();
    service.cluster.openFlows(address, 5);
    service.cluster.callers().sendOnAll(service.cluster.network().now());
    service.cluster.run(settleTime);
    CHECK(service.cluster.refusals(base::error_code::wrongService) > 0);
    LONGS_EQUAL(10, service.cluster.callers().inState(connection_state::open).size());
}

TEST(flow_decision, aRestartedAgentLearnsItsFlowsFromPacketsOfItsServer)
{
    small_service service(1);
    const std::size_t caller = service.cluster.openFlows(address, 1).front();
    service.cluster.run(settleTime);
    service.cluster.restartAgent("a1");
    service.settle();
    LONGS_EQUAL(0, service.cluster.stateOf("a1").owned.size());
    service.cluster.sendFromServer(caller);
    service.cluster.run(settleTime);
    LONGS_EQUAL(1, service.cluster.stateOf("a1").owned.size());
}

TEST(flow_decision, endedFlowsAreRemovedFromOwnerAndDirectory)
{
    small_service service(3);
    const std::vector<std::size_t> opened = service.cluster.openFlows(address, 30);
    service.cluster.run(settleTime);
    for (const std::size_t caller : opened)
        service.cluster.callers().close(caller, service.cluster.network().now());
    service.cluster.run(base::clock_time::ofSeconds(20));
    for (const std::string &name : service.cluster.agentsOf("logbook")) {
        LONGS_EQUAL(0, service.cluster.stateOf(name).owned.size());
        LONGS_EQUAL(0, service.cluster.stateOf(name).directory.size());
        LONGS_EQUAL(0, service.cluster.stateOf(name).registrar.pending.size());
    }
}

TEST(flow_decision, packetsBufferedForLookupsAreBounded)
{
    small_service service(2);
    // The only other agent does not answer any more.
    service.cluster.killVm("a2");
    for (std::uint16_t port = 1; port <= 3000; ++port) {
        const packets::ip_summary stray {
            base::flow_key {base::endpoint {0x0a000009, port}, address, 6}, false};
        service.cluster.inject("a1", service.packetFor("a1", stray));
    }
    CHECK(service.cluster.stateOf("a1").lookups.size() <= 512);
    CHECK(service.cluster.refusals(base::error_code::tooManyLookups) > 0);
    service.cluster.run(settleTime);
    LONGS_EQUAL(0, service.cluster.stateOf("a1").lookups.size());
    LONGS_EQUAL(0, service.cluster.stateOf("a1").lookupBytes);
}
