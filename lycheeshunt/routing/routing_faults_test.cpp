// The agent that each entry chooses for a flow, under failures and across generations.

#include "lycheeshunt/routing/routing_table.h"

#include <random>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using namespace lycheeshunt::routing;
using membership::member;
using membership::member_health;
using membership::member_phase;

namespace {

const base::endpoint logbookAddress {0xc0000201, 443};
const base::endpoint inspectAddress {0xc0000202, 443};

member agent(const std::string &name, member_phase phase = member_phase::serving,
             member_health health = member_health::good, const char *service = "logbook",
             std::uint64_t incarnation = 1)
{
    return member {name,
                   "z1",
                   membership::member_role::agent,
                   base::serviceIdOf(service),
                   base::incarnation(incarnation),
                   base::endpoint {0x7f000001, static_cast<std::uint16_t>(name.back())},
                   phase,
                   health};
}

dissemination::cluster_view twoServices()
{
    return dissemination::cluster_view {}.withTicket(
        base::generation(1),
        tickets::ticket {base::ticket_number(1),
                         "test",
                         {tickets::service_definition {"logbook", {{logbookAddress, 6}}, {}, 64},
                          tickets::service_definition {"inspect", {{inspectAddress, 6}}, {}, 64}}});
}

base::flow_key flow(std::uint32_t number, const base::endpoint &service)
{
    return base::flow_key {base::endpoint {0x0a000000 + number, 40000}, service, 6};
}

std::string namesOf(const std::vector<target> &targets, const std::vector<member> &members)
{
    std::string names;
    for (const member &each : members) {
        for (const target &chosen : targets)
            names += chosen.node == each.id() ? each.name : "";
    }
    return names;
}

struct director_case
{
    const char *what;
    std::vector<member> members;
    const char *chosen;
};

} // namespace

TEST_GROUP(routing_faults) {};

TEST(routing_faults, directorsAreAgentsThatCanAcceptFlows)
{
    const member_phase serving = member_phase::serving;
    const member_phase suspected = member_phase::suspected;
    const member_phase draining = member_phase::draining;
    const member_health bad = member_health::bad;
    const director_case cases[] = {
        {"all well", {agent("a"), agent("b"), agent("c")}, "abc"},
        {"one suspected", {agent("a"), agent("b", suspected), agent("c")}, "ac"},
        {"one draining", {agent("a", draining), agent("b"), agent("c")}, "bc"},
        {"one bad", {agent("a"), agent("b"), agent("c", serving, bad)}, "ab"},
        {"half bad", {agent("a"), agent("b", serving, bad)}, "a"},
        {"most bad: not believed",
         {agent("a"), agent("b", serving, bad), agent("c", serving, bad)},
         "abc"},
        {"all bad", {agent("a", serving, bad), agent("b", serving, bad)}, "ab"},
        {"all suspected", {agent("a", suspected), agent("b", suspected)}, "ab"},
        {"draining and suspected: the suspected ones",
         {agent("a", draining), agent("b", suspected)},
         "b"},
        {"most suspected", {agent("a"), agent("b", suspected), agent("c", suspected)}, "a"},
        {"all draining", {agent("a", draining), agent("b", draining)}, "ab"},
        {"another service's", {agent("a"), agent("b", serving, {}, "inspect")}, "a"},
    };
    for (const director_case &row : cases) {
        const dissemination::cluster_view view
            = twoServices().withBatch(base::generation(2), {row.members, {}});
        const std::vector<target> chosen = directorsOf(view, base::serviceIdOf("logbook"));
        STRCMP_EQUAL_TEXT(row.chosen, namesOf(chosen, row.members).c_str(), row.what);
    }
}

TEST(routing_faults, flowsOfABypassedDirectorGoToTheirBackupsOnly)
{
    const dissemination::cluster_view view
        = twoServices().withBatch(base::generation(2), {{agent("a"), agent("b"), agent("c")}, {}});
    const routing_table table(view);
    const bypassed_agents one {base::nodeIdOf("a")};
    const bypassed_agents all {base::nodeIdOf("a"), base::nodeIdOf("b"), base::nodeIdOf("c")};
    std::size_t moved = 0;
    for (std::uint32_t i = 0; i < 200; ++i) {
        const base::flow_key key = flow(i, logbookAddress);
        const target before = std::get<route>(table.routeOf(key)).to;
        const target after = std::get<route>(table.routeOf(key, one)).to;
        CHECK(after.node != base::nodeIdOf("a"));
        CHECK(before.node == base::nodeIdOf("a") || before == after);
        moved += before == after ? 0 : 1;
        CHECK(std::get<route>(table.routeOf(key, all)).to == before);
    }
    CHECK(moved > 0);
}

TEST(routing_faults, aVmThatReturnsForAnotherServiceGetsNoFlowsOfTheFormerOne)
{
    dissemination::cluster_view view = twoServices().withBatch(
        base::generation(2),
        {{agent("a"), agent("b"), agent("c", member_phase::serving, {}, "inspect")}, {}});
    const routing_table before(view);
    const routing_table after(
        view.withBatch(
            base::generation(3),
            {{agent("a", member_phase::serving, member_health::good, "inspect", 2)}, {}}),
        before);
    for (std::uint32_t i = 0; i < 200; ++i) {
        CHECK(std::get<route>(after.routeOf(flow(i, logbookAddress))).to.node
              == base::nodeIdOf("b"));
        const target inspect = std::get<route>(after.routeOf(flow(i, inspectAddress))).to;
        CHECK(inspect.node != base::nodeIdOf("b"));
        CHECK(inspect.node != base::nodeIdOf("a") || inspect.incarnation == base::incarnation(2));
    }
}

// Compares an entry that received every generation, one that received every seventh, and one that
// was 300 generations behind and then received the last.
TEST(routing_faults, routesDoNotDependOnWhichGenerationsAnEntryReceived)
{
    std::mt19937_64 random(7);
    std::vector<dissemination::cluster_view> views {twoServices()};
    for (std::uint64_t at = 2; at <= 302; ++at) {
        const std::string name(1, static_cast<char>('a' + random() % 12));
        const char *service = random() % 4 == 0 ? "inspect" : "logbook";
        const membership::membership_batch batch = random() % 3 == 0
            ? membership::membership_batch {{}, {base::nodeIdOf(name)}}
            : membership::membership_batch {
                {agent(name, random() % 5 == 0 ? member_phase::suspected : member_phase::serving,
                       random() % 5 == 0 ? member_health::bad : member_health::good, service, at)
                     .withShare(static_cast<std::uint8_t>(1 + random() % 4))},
                {}};
        views.emplace_back(views.back().withBatch(base::generation(at), batch));
    }
    shared_table every = std::make_shared<const routing_table>();
    shared_table seventh = every;
    for (std::size_t i = 0; i < views.size(); ++i) {
        every = std::make_shared<const routing_table>(views[i], *every);
        if (i % 7 == 0 || i + 1 == views.size())
            seventh = std::make_shared<const routing_table>(views[i], *seventh);
    }
    const routing_table behind(views.back(), routing_table(views.front()));
    for (std::uint32_t i = 0; i < 500; ++i) {
        for (const base::endpoint &service : {logbookAddress, inspectAddress}) {
            const routing_outcome expected = every->routeOf(flow(i, service));
            CHECK(seventh->routeOf(flow(i, service)) == expected);
            CHECK(behind.routeOf(flow(i, service)) == expected);
        }
    }
}

TEST(routing_faults, anUnroutedPacketHasAReason)
{
    const routing_table empty;
    CHECK(empty.routeOf(flow(1, logbookAddress))
          == routing_outcome(no_route {base::error_code::noSuchAddress}));
    const routing_table table(twoServices());
    CHECK(table.routeOf(flow(1, logbookAddress))
          == routing_outcome(no_route {base::error_code::noServer}));
}
