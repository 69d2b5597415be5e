// An entry's detection of unreachable agents, under virtual time, and the encoding of probes.

#include "lycheeshunt/routing/codec.h"
#include "lycheeshunt/routing/liveness_decision.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using namespace lycheeshunt::routing;

namespace {

target agent(char name, std::uint64_t incarnation = 1)
{
    return target {base::nodeIdOf(std::string(1, name)), base::incarnation(incarnation),
                   base::endpoint {0x7f000001, static_cast<std::uint16_t>(name)}};
}

// One entry; agents answer at once unless they are listed as silent.
class entry
{
public:
    // The zones are those of the names, in the same order; without any, all are in one zone.
    explicit entry(const std::string &names, const std::string &zones = "") : m_zones(zones)
    {
        setAgents(names);
    }

    void setAgents(const std::string &names, std::uint64_t incarnation = 1)
    {
        std::vector<probed_agent> agents;
        for (std::size_t i = 0; i < names.size(); ++i)
            agents.push_back(probed_agent {agent(names[i], incarnation),
                                           m_zones.empty() ? "" : m_zones.substr(i, 1)});
        deliver(agents_changed {agents});
    }

    void deliver(const liveness_message &message)
    {
        base::step<liveness_state, liveness_action> next
            = decide(std::move(m_state), message, m_now);
        m_state = std::move(next.state);
        std::vector<send_probe> probes;
        for (const liveness_action &action : next.actions) {
            if (const send_probe *sent = std::get_if<send_probe>(&action))
                probes.push_back(*sent);
        }
        m_probes += probes.size();
        for (const send_probe &sent : probes) {
            if (m_silent.count(sent.to.node) == 0)
                deliver(probe_answered {sent.to.incarnation, sent.number});
        }
    }

    void run(std::int64_t millis, const std::string &silent)
    {
        m_silent.clear();
        for (const char name : silent)
            m_silent.insert(agent(name).node);
        for (std::int64_t elapsed = 0; elapsed < millis; elapsed += livenessTickInterval.millis()) {
            m_now = m_now + livenessTickInterval;
            deliver(liveness_tick {});
        }
    }

    std::string bypassed(const std::string &names) const
    {
        std::string found;
        for (const char name : names)
            found += m_state.bypassed.count(agent(name).node) > 0 ? std::string(1, name) : "";
        return found;
    }
    std::size_t probes() const { return m_probes; }

private:
    const std::string m_zones;
    liveness_state m_state;
    base::clock_time m_now = base::clock_time::ofSeconds(50);
    std::set<base::node_id> m_silent;
    std::size_t m_probes = 0;
};

struct silence_case
{
    const char *what;
    const char *agents;
    const char *silent;
    std::int64_t millis;
    const char *bypassed;
};

} // namespace

TEST_GROUP(liveness) {};

TEST(liveness, silentAgentsAreBypassedUnlessMostAreSilent)
{
    const silence_case cases[] = {
        {"all answer", "abcdefg", "", 5000, ""},
        {"one is silent for a moment", "abcdefg", "c", 400, ""},
        {"one is silent", "abcdefg", "c", 3000, "c"},
        {"a zone is silent", "abcdefgh", "ab", 3000, "ab"},
        {"half are silent", "abcd", "ab", 3000, "ab"},
        {"most are silent: the entry is cut off", "abcd", "abc", 3000, ""},
        {"all are silent", "abcd", "abcd", 3000, ""},
    };
    for (const silence_case &row : cases) {
        entry one(row.agents);
        one.run(2000, "");
        for (int round = 0; round < 2; ++round) {
            one.run(row.millis, row.silent);
            STRCMP_EQUAL_TEXT(row.bypassed, one.bypassed(row.agents).c_str(), row.what);
            one.run(3000, "");
            STRCMP_EQUAL_TEXT("", one.bypassed(row.agents).c_str(), row.what);
        }
    }
}

// An entry in a zone that is cut off saw most agents silent, bypassed none, and sent most of its
// packets to agents that it could not reach.
TEST(liveness, silentZonesAreBypassedUnlessAllAre)
{
    struct zone_case
    {
        const char *what;
        const char *silent;
        const char *bypassed;
    };
    constexpr const char *agents = "abcdefghijkl";
    constexpr const char *zones = "111122223333";
    const zone_case cases[] = {
        {"one zone is cut off", "abcd", "abcd"},
        {"the other zones are cut off", "abcdefgh", "abcdefgh"},
        {"another zone has an agent that answers", "abcdfgh", "abcdfgh"},
        {"all zones are cut off", agents, ""},
        {"most agents of all zones are silent", "abcefgijk", ""},
        {"one zone and most agents of the others", "abcdefgijk", "abcd"},
    };
    for (const zone_case &row : cases) {
        entry one(agents, zones);
        one.run(2000, "");
        one.run(3000, row.silent);
        STRCMP_EQUAL_TEXT(row.bypassed, one.bypassed(agents).c_str(), row.what);
        one.run(3000, "");
        STRCMP_EQUAL_TEXT("", one.bypassed(agents).c_str(), row.what);
    }
}

// With 60 agents a round of probes takes 2 s; a zone that was cut off for 5 s was noticed after the
// cut had ended.
TEST(liveness, theTimeOfDetectionDoesNotGrowWithTheNumberOfAgents)
{
    const std::string names = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ01234567";
    std::string zones;
    for (std::size_t i = 0; i < names.size(); ++i)
        zones += static_cast<char>('1' + i % 3);
    entry one(names, zones);
    one.run(5000, "");
    std::string silent;
    for (std::size_t i = 0; i < names.size(); i += 3)
        silent += names[i];
    one.run(1200, silent);
    STRCMP_EQUAL(silent.c_str(), one.bypassed(names).c_str());
    // The zone answers again: it is used as soon as one of its agents has answered.
    one.run(600, "");
    CHECK(one.bypassed(names).size() < silent.size());
    one.run(3000, "");
    STRCMP_EQUAL("", one.bypassed(names).c_str());
    // A single agent waits for its turn only once.
    one.run(3400, "m");
    STRCMP_EQUAL("m", one.bypassed(names).c_str());
}

TEST(liveness, anUnreachableAgentIsBypassedAtOnceAndItsNextIncarnationIsNot)
{
    entry one("abcd");
    one.deliver(agent_unreachable {agent('b').packets});
    STRCMP_EQUAL("b", one.bypassed("abcd").c_str());
    one.setAgents("abcd");
    STRCMP_EQUAL("b", one.bypassed("abcd").c_str());
    one.setAgents("abcd", 2);
    STRCMP_EQUAL("", one.bypassed("abcd").c_str());
}

TEST(liveness, anUnexpectedAnswerDoesNotEndASuspicion)
{
    entry one("abcd");
    one.run(3000, "b");
    STRCMP_EQUAL("b", one.bypassed("abcd").c_str());
    for (std::uint64_t number = 0; number < 100; ++number)
        one.deliver(probe_answered {base::incarnation(9), number});
    STRCMP_EQUAL("b", one.bypassed("abcd").c_str());
}

TEST(liveness, theProbeRateDoesNotDependOnTheNumberOfAgents)
{
    std::vector<probed_agent> many;
    for (std::uint16_t i = 0; i < 1000; ++i)
        many.push_back(probed_agent {
            target {base::node_id(i + 1), base::incarnation(1), base::endpoint {0x7f000001, i}},
            ""});
    entry one("");
    one.deliver(agents_changed {many});
    one.run(10'000, "");
    LONGS_EQUAL(100 * probesPerTick, one.probes());
}

TEST(liveness, onlyTheProbedIncarnationAnswers)
{
    const base::incarnation incarnation(1'700'000'000'000);
    const std::string probe = encodeProbe(probe_datagram {probe_kind::probe, incarnation, 7});
    CHECK(hasProbePrefix(probe));
    const std::optional<std::string> echo = echoOf(probe, incarnation);
    CHECK(echo.has_value());
    LONGS_EQUAL(probe.size(), echo->size());
    const base::result<probe_datagram> decoded = decodeProbe(*echo);
    CHECK(base::valueOf(decoded) == (probe_datagram {probe_kind::echo, incarnation, 7}));
    CHECK_FALSE(echoOf(probe, base::incarnation(2)).has_value());
    CHECK_FALSE(echoOf(*echo, incarnation).has_value());
    CHECK_FALSE(echoOf("", incarnation).has_value());
}
