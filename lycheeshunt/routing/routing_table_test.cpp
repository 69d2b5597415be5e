#include "lycheeshunt/routing/routing_table.h"

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using routing::routing_table;

namespace {

const base::endpoint logbookAddress {0xc0000201, 443};
const base::endpoint inspectAddress {0xc0000202, 443};
constexpr std::uint16_t flows = 500;

membership::member agentOf(const std::string &service, std::uint16_t port)
{
    return membership::member {service + std::to_string(port),
                               "zone-1",
                               membership::member_role::agent,
                               base::serviceIdOf(service),
                               base::incarnation(1),
                               base::endpoint {0x7f000001, port},
                               membership::member_phase::serving};
}

dissemination::cluster_view firstView()
{
    const tickets::ticket services {
        base::ticket_number(1),
        "test",
        {tickets::service_definition {"logbook", {{logbookAddress, 6}}, {}, 64},
         tickets::service_definition {"inspect", {{inspectAddress, 6}}, {}, 64}}};
    return dissemination::cluster_view {}
        .withTicket(base::generation(1), services)
        .withBatch(base::generation(2),
                   {{agentOf("logbook", 1), agentOf("logbook", 2), agentOf("inspect", 3),
                     agentOf("inspect", 4)},
                    {}});
}

bool haveEqualRoutes(const routing_table &one, const routing_table &other)
{
    for (const base::endpoint &service : {logbookAddress, inspectAddress}) {
        for (std::uint16_t port = 1; port <= flows; ++port) {
            const base::flow_key key {{0x0a000001, port}, service, 6};
            if (one.routeOf(key) != other.routeOf(key))
                return false;
        }
    }
    return true;
}

} // namespace

TEST_GROUP(routing_table) {};

TEST(routing_table, aTableBuiltFromThePreviousOneEqualsOneBuiltFromScratch)
{
    const dissemination::cluster_view first = firstView();
    const dissemination::cluster_view withoutOneAgent
        = first.withBatch(base::generation(3), {{}, {agentOf("logbook", 2).id()}});
    const tickets::ticket moved {
        base::ticket_number(2),
        "test",
        {tickets::service_definition {"logbook", {}, {}, 64},
         tickets::service_definition {
             "inspect", {{inspectAddress, 6}, {logbookAddress, 6}}, {}, 128}}};
    const dissemination::cluster_view after
        = withoutOneAgent.withTicket(base::generation(4), moved);
    const routing_table one(first);
    const routing_table two(withoutOneAgent, one);
    const routing_table three(after, two);
    CHECK(haveEqualRoutes(two, routing_table(withoutOneAgent)));
    CHECK(haveEqualRoutes(three, routing_table(after)));
    CHECK_FALSE(haveEqualRoutes(one, two));
}

TEST(routing_table, anAddressBelongsToOneServiceOnly)
{
    const routing_table table(firstView());
    for (std::uint16_t port = 1; port <= flows; ++port) {
        const routing::routing_outcome outcome
            = table.routeOf({{0x0a000001, port}, inspectAddress, 6});
        const routing::route chosen = std::get<routing::route>(outcome);
        CHECK(chosen.service == base::serviceIdOf("inspect"));
        CHECK(chosen.to.packets.port >= 3);
    }
}

// With director and backup both bypassed, packets went to the director, which could not be reached.
TEST(routing_table, aFlowGoesToAReachableAgentWhileThereIsOne)
{
    std::vector<membership::member> agents;
    for (std::uint16_t port = 1; port <= 6; ++port)
        agents.push_back(agentOf("logbook", port));
    const routing_table table(firstView().withBatch(base::generation(3), {agents, {}}));
    const base::service_id logbook = base::serviceIdOf("logbook");
    const auto bypassing = [&](std::size_t count) {
        routing::bypassed_agents bypassed;
        for (std::size_t i = 0; i < count; ++i)
            bypassed.insert(agents[i].id());
        return bypassed;
    };
    for (std::uint16_t port = 1; port <= flows; ++port) {
        const base::flow_key key {{0x0a000001, port}, logbookAddress, 6};
        const routing::route usual = std::get<routing::route>(table.routeOf(key, {}));
        for (std::size_t count = 0; count < agents.size(); ++count) {
            const routing::bypassed_agents bypassed = bypassing(count);
            const routing::route chosen = std::get<routing::route>(table.routeOf(key, bypassed));
            CHECK_EQUAL(0, bypassed.count(chosen.to.node));
            if (bypassed.count(usual.to.node) == 0)
                CHECK(chosen == usual);
            // A copy of an opening packet avoids the director.
            const routing::route copy
                = std::get<routing::route>(table.routeWithin(logbook, key, bypassed, true));
            CHECK_EQUAL(0, bypassed.count(copy.to.node));
        }
        // Without any reachable agent, the suspicion may be wrong.
        CHECK(std::get<routing::route>(table.routeOf(key, bypassing(agents.size()))) == usual);
    }
}
