#include "lycheeshunt/operators/flow_destination.h"

#include "lycheeshunt/operators/decision.h"

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using namespace lycheeshunt::operators;
using membership::member_health;
using membership::member_phase;
using routing::restriction;

namespace {

const tickets::service_address address {{0xc0000201, 443}};
const base::service_id logbook = base::serviceIdOf("logbook");
const base::service_id inspect = base::serviceIdOf("inspect");
const base::service_id former = base::serviceIdOf("former");

membership::member agentOf(const std::string &name, const std::string &zone = "zone-1",
                           member_health health = member_health::good)
{
    const base::endpoint packets {1, static_cast<std::uint16_t>(name.back())};
    const membership::member_role role = membership::member_role::agent;
    const base::incarnation incarnation(1);
    return {name, zone, role, logbook, incarnation, packets, member_phase::serving, health};
}

// One agent for each restriction, and enough others that every criterion is applied.
dissemination::cluster_view viewOf(std::uint32_t logbookWeight)
{
    std::map<base::node_id, membership::member> members;
    for (const membership::member &each :
         {agentOf("a"), agentOf("b"), agentOf("c"), agentOf("drained"),
          agentOf("evacuated", "zone-2"), agentOf("silent").withPhase(member_phase::suspected),
          agentOf("ill", "zone-1", member_health::bad), agentOf("new").withShare(1)})
        members.emplace(each.id(), each);
    const tickets::request_kind kind = tickets::request_kind::idempotent;
    const base::clock_time timeout = base::clock_time::ofMillis(2000);
    const tickets::address_route route {
        address, {{logbook, logbookWeight}, {inspect, 40}}, {former}, kind, timeout};
    return {base::generation(7),
            {{logbook, {"logbook", {}, {}, 64}}, {inspect, {"inspect", {}, {}, 64}}},
            members,
            {"drained"},
            {{address, route}},
            {"zone-2"}};
}

base::flow_key keyOf(std::uint16_t port)
{
    return {{0x0a000001, port}, address.where, address.protocol};
}

} // namespace

TEST_GROUP(where) {};

// Guards against an explanation that differs from where entries send the flow.
TEST(where, theExplanationAgreesWithTheRouteOfEachFlow)
{
    const dissemination::cluster_view view = viewOf(60);
    const routing::routing_table table(view);
    for (std::uint16_t port = 1; port <= 200; ++port) {
        const flow_destination found = base::valueOf(destinationOf(view, table, keyOf(port)));
        const bool isLogbook = found.split.position < 60;
        CHECK(found.services.front() == (isLogbook ? logbook : inspect));
        CHECK(found.services.back() == former);
        CHECK(found.director == table.routeOf(keyOf(port)));
        CHECK_EQUAL(isLogbook, std::holds_alternative<routing::route>(found.director));
        CHECK_EQUAL(isLogbook, found.director != found.backup);
    }
}

// Guards against a restriction that is missing, or is listed for an agent that gets new flows.
TEST(where, eachRestrictedAgentHasItsReason)
{
    const std::vector<routing::restricted_agent> found
        = routing::restrictedAgentsOf(viewOf(60), logbook);
    const routing::restricted_agent expected[]
        = {{base::nodeIdOf("drained"), {restriction::drained}, false, false},
           {base::nodeIdOf("evacuated"), {restriction::evacuated}, false, false},
           {base::nodeIdOf("silent"), {restriction::suspected}, false, false},
           {base::nodeIdOf("ill"), {restriction::badHealth}, false, true},
           {base::nodeIdOf("new"), {restriction::coldStart}, true, true}};
    LONGS_EQUAL(std::size(expected), found.size());
    for (const routing::restricted_agent &each : expected)
        LONGS_EQUAL(1, std::count(found.begin(), found.end(), each));
}

// Guards against an answer from an older view, and against a request that stays unanswered.
TEST(where, aRequestIsAnsweredFromThePresentView)
{
    operator_state state;
    const auto ask = [&](const dissemination::cluster_view &view) {
        const base::request_id request(1);
        const http_arrived arrived {request, "GET", "/v1/where", "",
                                    "caller=10.0.0.1:40001&address=192.0.2.1:443"};
        const base::step<operator_state, operator_action> asked = decide(std::move(state), arrived);
        CHECK(std::holds_alternative<dissemination::in_force_query>(asked.actions.at(0)));
        const dissemination::in_force_answer answer {
            request, {}, std::make_shared<const dissemination::cluster_view>(view), {}};
        base::step<operator_state, operator_action> answered = decide(asked.state, answer);
        state = std::move(answered.state);
        CHECK(state.waiting.empty());
        return std::get<http_reply>(answered.actions.at(0));
    };
    const http_reply served = ask(viewOf(1'000'000));
    LONGS_EQUAL(200, served.status);
    for (const char *part : {"\"generation\":7", "\"service\":\"logbook\"", "\"director\":{",
                             "\"timeout_ms\":2000", "\"former\":true"})
        CHECK_TEXT(served.body.find(part) != std::string::npos, part);
    const http_reply gone = ask({base::generation(8)});
    LONGS_EQUAL(404, gone.status);
    CHECK(gone.body.find("192.0.2.1:443, protocol 6: not among the addresses of generation 8")
          != std::string::npos);
}
