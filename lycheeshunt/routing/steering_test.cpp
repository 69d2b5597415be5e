// Where an entry sends a packet: hints, shares of an address, services that had one before, and
// what a caller is told when nobody has its flow.

#include "lycheeshunt/routing/steering.h"

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using namespace lycheeshunt::routing;

namespace {

const tickets::service_address address {base::endpoint {0xc6120001, 443}, 6};
const base::service_id logbook = base::serviceIdOf("logbook");
const base::service_id inspect = base::serviceIdOf("inspect");
constexpr std::uint32_t buckets = 64;

membership::member agentOf(const std::string &service, std::uint16_t port)
{
    return membership::member {service + std::to_string(port), "zone-1",
                               membership::member_role::agent, base::serviceIdOf(service),
                               base::incarnation(1),           base::endpoint {0x7f000001, port}};
}

routing_table tableOf(const std::vector<tickets::route_share> &shares,
                      const std::vector<base::service_id> &former = {})
{
    std::map<base::service_id, tickets::service_definition> services;
    services.emplace(logbook, tickets::service_definition {"logbook", {}, {}, buckets});
    services.emplace(inspect, tickets::service_definition {"inspect", {}, {}, buckets});
    std::map<base::node_id, membership::member> members;
    for (const membership::member &member :
         {agentOf("logbook", 1), agentOf("logbook", 2), agentOf("inspect", 3)})
        members.emplace(member.id(), member);
    std::map<tickets::service_address, tickets::address_route> routes;
    routes.emplace(address, tickets::address_route {address, shares, former});
    return routing_table(
        dissemination::cluster_view {base::generation(5), services, members, {}, routes});
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
    const routing_table whole = tableOf({{logbook, 1}});

    flow_hint hintTo(std::uint16_t port, std::int64_t learned)
    {
        const membership::member owner = agentOf("logbook", port);
        return flow_hint {logbook, target {owner.id(), owner.incarnation, owner.packets},
                          at(learned)};
    }
};

TEST(steering, aHintedFlowGoesToItsOwnerAtOnce)
{
    const packets::ip_summary data = packetOf(1, false);
    hints.put(data.key, hintTo(2, 0));
    const steer_to way = std::get<steer_to>(steer(whole, {}, hints, data, at(60'000)));
    CHECK(way.stage == flows::packet_stage::toOwner);
    CHECK_EQUAL(2, way.way.to.packets.port);
}

TEST(steering, copiesOfAnOpeningPacketFollowTheFirstAndLaterOnesOpenANewFlow)
{
    const packets::ip_summary opening = packetOf(1, true);
    hints.put(opening.key, hintTo(2, 0));
    const steering copy = steer(whole, {}, hints, opening, at(600));
    CHECK(std::get<steer_to>(copy).stage == flows::packet_stage::toOwner);
    const steering later = steer(whole, {}, hints, opening, at(5000));
    CHECK(std::get<steer_to>(later).stage == flows::packet_stage::toDirector);
}

TEST(steering, aCopyThatNobodyAnsweredForGoesToTheBackup)
{
    const steering first = steer(whole, {}, hints, packetOf(1, true), at(0));
    const steering copy = steer(whole, {}, hints, packetOf(1, true, true), at(200));
    CHECK(std::get<steer_to>(first).way.to.node != std::get<steer_to>(copy).way.to.node);
}

TEST(steering, anAddressThatIsNotServedRefusesNewFlowsAndResetsNoOthers)
{
    const routing_table none;
    CHECK(std::holds_alternative<refuse_caller>(steer(none, {}, hints, packetOf(1, true), at(0))));
    CHECK(std::holds_alternative<drop_packet>(steer(none, {}, hints, packetOf(1, false), at(0))));
}

TEST(steering, aServiceWithoutAgentsRefusesNewFlowsAtOnce)
{
    const routing_table lonely = tableOf({{base::serviceIdOf("nobody"), 1}});
    CHECK(
        std::holds_alternative<refuse_caller>(steer(lonely, {}, hints, packetOf(1, true), at(0))));
    CHECK(std::holds_alternative<drop_packet>(steer(lonely, {}, hints, packetOf(1, false), at(0))));
}

TEST(steering, newFlowsAreSplitByWeight)
{
    const routing_table split = tableOf({{logbook, 90}, {inspect, 10}});
    constexpr std::uint16_t flows = 10'000;
    std::size_t toInspect = 0;
    for (std::uint16_t port = 1; port <= flows; ++port) {
        const steering way = steer(split, {}, hints, packetOf(port, true), at(0));
        toInspect += std::get<steer_to>(way).way.service == inspect ? 1 : 0;
    }
    CHECK(toInspect > 800 && toInspect < 1200);
}

TEST(steering, aShareOfWeightZeroGetsNoFlow)
{
    const routing_table split = tableOf({{logbook, 0}, {inspect, 3}});
    for (std::uint16_t port = 1; port <= 500; ++port) {
        const steering way = steer(split, {}, hints, packetOf(port, true), at(0));
        CHECK(std::get<steer_to>(way).way.service == inspect);
    }
}

TEST(steering, anUnknownFlowIsLookedForWhereItsAddressLedBefore)
{
    const routing_table moved = tableOf({{inspect, 1}}, {logbook});
    const packets::ip_summary data = packetOf(1, false);
    const steering first = steer(moved, {}, hints, data, at(0));
    CHECK(std::get<steer_to>(first).way.service == inspect);
    const steering next = steerAfterUnknown(moved, {}, hints, data, inspect, false);
    CHECK(std::get<steer_to>(next).way.service == logbook);
    CHECK(std::holds_alternative<refuse_caller>(
        steerAfterUnknown(moved, {}, hints, data, logbook, false)));
    // New flows never go there.
    const steering opening = steer(moved, {}, hints, packetOf(1, true), at(0));
    CHECK(std::get<steer_to>(opening).way.service == inspect);
}

TEST(steering, aFlowThatMayBeSomewhereIsNeverReset)
{
    const packets::ip_summary data = packetOf(1, false);
    CHECK(std::holds_alternative<drop_packet>(
        steerAfterUnknown(whole, {}, hints, data, logbook, true)));
}

TEST(steering, aWrongHintStartsTheSearchAnew)
{
    const packets::ip_summary data = packetOf(1, false);
    hints.put(data.key, hintTo(2, 0));
    const steering next = steerAfterUnknown(whole, {}, hints, data, logbook, false);
    CHECK(std::get<steer_to>(next).stage == flows::packet_stage::toDirector);
    CHECK(hints.find(data.key) == nullptr);
}

TEST(steering, hintsAreBoundedAndThoseInUseStay)
{
    flow_hints few(10);
    for (std::uint16_t port = 1; port <= 100; ++port) {
        few.put(packetOf(port, false).key, hintTo(1, 0));
        CHECK(few.find(packetOf(1, false).key) != nullptr);
        CHECK(few.size() <= 21);
    }
}
