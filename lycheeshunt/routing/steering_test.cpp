// Where an entry sends a packet: owner hints, shares of an address, former services of an address,
// and the response to a caller whose flow no agent has.

#include "lycheeshunt/routing/steering.h"

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using namespace lycheeshunt::routing;

namespace {

const tickets::service_address address {base::endpoint {0xc6120001, 443}, 6};
const base::service_id logbook = base::serviceIdOf("logbook");
const base::service_id inspect = base::serviceIdOf("inspect");
constexpr std::uint32_t buckets = 64;
const base::generation current(5);

membership::member agentOf(const std::string &service, std::uint16_t port)
{
    return membership::member {service + std::to_string(port), "zone-1",
                               membership::member_role::agent, base::serviceIdOf(service),
                               base::incarnation(1),           base::endpoint {0x7f000001, port}};
}

routing_table tableOf(const std::vector<tickets::route_share> &shares,
                      const std::vector<base::service_id> &former = {},
                      bool isFormerIncomplete = false)
{
    std::map<base::service_id, tickets::service_definition> services;
    services.emplace(logbook, tickets::service_definition {"logbook", {}, {}, buckets});
    services.emplace(inspect, tickets::service_definition {"inspect", {}, {}, buckets});
    std::map<base::node_id, membership::member> members;
    for (const membership::member &member :
         {agentOf("logbook", 1), agentOf("logbook", 2), agentOf("inspect", 3)})
        members.emplace(member.id(), member);
    std::map<tickets::service_address, tickets::address_route> routes;
    routes.emplace(address,
                   tickets::address_route {address,
                                           shares,
                                           former,
                                           tickets::request_kind::nonIdempotent,
                                           {},
                                           {},
                                           0,
                                           isFormerIncomplete});
    return routing_table(dissemination::cluster_view {current, services, members, {}, routes});
}

packets::ip_summary packetOf(std::uint16_t port, bool opens, bool isRepeated = false)
{
    return packets::ip_summary {
        base::flow_key {base::endpoint {0x64400007, port}, address.where, 6},
        opens,
        false,
        false,
        0,
        isRepeated};
}

base::clock_time at(std::int64_t millis)
{
    return base::clock_time::ofMillis(millis);
}

} // namespace

TEST_GROUP(steering)
{
    flow_hints hints;
    const routing_table table = tableOf({{logbook, 1}});

    flow_hint hintTo(std::uint16_t port, std::int64_t receivedAt)
    {
        const membership::member owner = agentOf("logbook", port);
        return flow_hint {logbook, target {owner.id(), owner.incarnation, owner.packets},
                          at(receivedAt)};
    }
};

TEST(steering, aHintedFlowGoesDirectlyToItsOwner)
{
    const packets::ip_summary data = packetOf(1, false);
    hints.put(data.key, hintTo(2, 0));
    const steer_to decision = std::get<steer_to>(steer(table, {}, hints, data, at(60'000)));
    CHECK(decision.stage == flows::packet_stage::toOwner);
    CHECK_EQUAL(2, decision.destination.to.packets.port);
}

TEST(steering, retransmittedOpeningPacketsFollowTheFirstAndLaterOnesOpenANewFlow)
{
    const packets::ip_summary opening = packetOf(1, true);
    hints.put(opening.key, hintTo(2, 0));
    const steering copy = steer(table, {}, hints, opening, at(600));
    CHECK(std::get<steer_to>(copy).stage == flows::packet_stage::toOwner);
    const steering later = steer(table, {}, hints, opening, at(5000));
    CHECK(std::get<steer_to>(later).stage == flows::packet_stage::toDirector);
}

TEST(steering, aRetransmittedOpeningPacketWithoutAHintGoesToTheBackup)
{
    const steering first = steer(table, {}, hints, packetOf(1, true), at(0));
    const steering copy = steer(table, {}, hints, packetOf(1, true, true), at(200));
    CHECK(std::get<steer_to>(first).destination.to.node
          != std::get<steer_to>(copy).destination.to.node);
}

TEST(steering, anUnservedAddressRefusesNewFlowsAndResetsNoOthers)
{
    const routing_table none;
    CHECK(std::holds_alternative<refuse_caller>(steer(none, {}, hints, packetOf(1, true), at(0))));
    CHECK(std::holds_alternative<drop_packet>(steer(none, {}, hints, packetOf(1, false), at(0))));
}

TEST(steering, aServiceWithoutAgentsRefusesNewFlowsAtOnce)
{
    const routing_table withoutAgents = tableOf({{base::serviceIdOf("nobody"), 1}});
    CHECK(std::holds_alternative<refuse_caller>(
        steer(withoutAgents, {}, hints, packetOf(1, true), at(0))));
    CHECK(std::holds_alternative<drop_packet>(
        steer(withoutAgents, {}, hints, packetOf(1, false), at(0))));
}

TEST(steering, newFlowsAreSplitByWeight)
{
    const routing_table split = tableOf({{logbook, 90}, {inspect, 10}});
    constexpr std::uint16_t flows = 10'000;
    std::size_t toInspect = 0;
    for (std::uint16_t port = 1; port <= flows; ++port) {
        const steering decision = steer(split, {}, hints, packetOf(port, true), at(0));
        toInspect += std::get<steer_to>(decision).destination.service == inspect ? 1 : 0;
    }
    CHECK(toInspect > 800 && toInspect < 1200);
}

TEST(steering, aShareOfWeightZeroGetsNoFlow)
{
    const routing_table split = tableOf({{logbook, 0}, {inspect, 3}});
    for (std::uint16_t port = 1; port <= 500; ++port) {
        const steering decision = steer(split, {}, hints, packetOf(port, true), at(0));
        CHECK(std::get<steer_to>(decision).destination.service == inspect);
    }
}

// Guards against a reset while the first service of an address was never searched: two packets go
// by one wrong hint to its second service, and the report of the first erases the hint.
TEST(steering, twoPacketsByOneWrongHintDoNotRefuseTheCaller)
{
    const routing_table split = tableOf({{logbook, 1}, {inspect, 1}});
    const packets::ip_summary data = packetOf(1, false);
    const std::vector<base::service_id> services = split.servicesFor(data.key);
    const base::service_id second = services.back();
    const membership::member wrong
        = second == logbook ? agentOf("logbook", 1) : agentOf("inspect", 3);
    hints.put(data.key,
              flow_hint {second, target {wrong.id(), wrong.incarnation, wrong.packets}, at(0)});
    const steer_to first = std::get<steer_to>(steer(split, {}, hints, data, at(100)));
    const steer_to next = std::get<steer_to>(steer(split, {}, hints, data, at(110)));
    const steering afterFirst = steerToNextService(
        split, {}, hints, data, searched_service {second, first.destination.at, first.isDoubtful});
    CHECK(std::get<steer_to>(afterFirst).destination.service == services.front());
    CHECK_FALSE(std::get<steer_to>(afterFirst).isDoubtful);
    const steering afterNext = steerToNextService(
        split, {}, hints, data, searched_service {second, next.destination.at, next.isDoubtful});
    CHECK(std::holds_alternative<drop_packet>(afterNext));
}

TEST(steering, anUnknownFlowIsSoughtAtFormerServicesOfItsAddress)
{
    const routing_table moved = tableOf({{inspect, 1}}, {logbook});
    const packets::ip_summary data = packetOf(1, false);
    const steering first = steer(moved, {}, hints, data, at(0));
    CHECK(std::get<steer_to>(first).destination.service == inspect);
    const steering next = steerToNextService(moved, {}, hints, data, {inspect, current});
    CHECK(std::get<steer_to>(next).destination.service == logbook);
    CHECK(std::holds_alternative<refuse_caller>(
        steerToNextService(moved, {}, hints, data, {logbook, current})));
    // New flows never go to a former service.
    const steering opening = steer(moved, {}, hints, packetOf(1, true), at(0));
    CHECK(std::get<steer_to>(opening).destination.service == inspect);
}

TEST(steering, aFlowThatAnUnqueriedAgentMayHaveIsNeverReset)
{
    const packets::ip_summary data = packetOf(1, false);
    CHECK(std::holds_alternative<drop_packet>(
        steerToNextService(table, {}, hints, data, {logbook, current, true})));
}

// Guards against resets of open flows when the search passes over a service whose agents are not
// in the entry's view.
TEST(steering, aFlowThatAServiceWithoutAgentsMayHaveIsNeverReset)
{
    const routing_table moved = tableOf({{inspect, 1}}, {base::serviceIdOf("nobody")});
    CHECK(std::holds_alternative<drop_packet>(
        steerToNextService(moved, {}, hints, packetOf(1, false), {inspect, current})));
}

// Guards against a table that drops what its routes say of their requests.
TEST(steering, anAddressHasTheRequestTraitsOfItsRoute)
{
    const std::optional<request_traits> traits = table.traitsOf(packetOf(1, true).key);
    CHECK(traits == request_traits {});
    CHECK_FALSE(routing_table().traitsOf(packetOf(1, true).key).has_value());
}

// Guards against resets of open flows that are with a service which the route no longer lists.
TEST(steering, aFlowThatAnUnlistedFormerServiceMayHaveIsNeverReset)
{
    const routing_table moved = tableOf({{inspect, 1}}, {logbook}, true);
    CHECK(std::holds_alternative<drop_packet>(
        steerToNextService(moved, {}, hints, packetOf(1, false), {logbook, current})));
}

// Guards against resets of open flows after a search by agents, or from an entry, whose view had
// other services for the address.
TEST(steering, aFlowThatWasSearchedInAnotherViewIsNeverReset)
{
    const packets::ip_summary data = packetOf(1, false);
    for (const std::uint64_t at : {4, 6}) {
        CHECK(std::holds_alternative<drop_packet>(
            steerToNextService(table, {}, hints, data, {logbook, base::generation(at)})));
    }
    // The doubt stays with the packet when it goes on to another service.
    const routing_table moved = tableOf({{inspect, 1}}, {logbook});
    const steering next
        = steerToNextService(moved, {}, hints, data, {inspect, base::generation(4)});
    CHECK(std::get<steer_to>(next).isDoubtful);
}

TEST(steering, aWrongHintRestartsTheSearchAtTheFirstService)
{
    const packets::ip_summary data = packetOf(1, false);
    hints.put(data.key, hintTo(2, 0));
    const steering next = steerToNextService(table, {}, hints, data, {logbook, current});
    CHECK(std::get<steer_to>(next).stage == flows::packet_stage::toDirector);
    CHECK(hints.find(data.key) == nullptr);
}

// Guards against an open flow whose packets go to another server: two servers answer copies of its
// opening packet, and the caller takes the first answer.
TEST(steering, theHintOfASecondServerThatAnswersAnOpeningPacketIsIgnored)
{
    const packets::ip_summary data = packetOf(1, false);
    takeOpeningHint(hints, data.key, hintTo(1, 0));
    takeOpeningHint(hints, data.key, hintTo(2, 100));
    LONGS_EQUAL(1, hints.find(data.key)->owner.packets.port);
    // The hint of an earlier flow of the caller's port gives way.
    takeOpeningHint(hints, data.key, hintTo(2, 3000));
    LONGS_EQUAL(2, hints.find(data.key)->owner.packets.port);
}

TEST(steering, aHintIsWithdrawnOnlyByItsOwnAgent)
{
    const packets::ip_summary data = packetOf(1, false);
    hints.put(data.key, hintTo(1, 0));
    withdrawHint(hints, data.key, agentOf("logbook", 2).id());
    CHECK(hints.find(data.key) != nullptr);
    withdrawHint(hints, data.key, agentOf("logbook", 1).id());
    CHECK(hints.find(data.key) == nullptr);
}

TEST(steering, hintsAreBoundedAndThoseInUseAreNotEvicted)
{
    flow_hints smallCache(10);
    for (std::uint16_t port = 1; port <= 100; ++port) {
        smallCache.put(packetOf(port, false).key, hintTo(1, 0));
        CHECK(smallCache.find(packetOf(1, false).key) != nullptr);
        CHECK(smallCache.size() <= 21);
    }
}
