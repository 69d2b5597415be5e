// Leases in virtual time: the members in the log after announcements, silence and leader changes.

#include "lycheeshunt/membership/decision.h"

#include "lycheeshunt/base/overloaded.h"

#include <functional>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using namespace lycheeshunt::membership;

namespace {

constexpr base::clock_time start = base::clock_time::ofSeconds(1000);
constexpr base::clock_time tickInterval = base::clock_time::ofMillis(100);
constexpr std::int64_t announceMillis = 1000;

member agent(const std::string &name, std::uint64_t incarnation = 1,
             const char *service = "logbook")
{
    const std::uint16_t port
        = static_cast<std::uint16_t>(1000 + std::hash<std::string> {}(name) % 60000);
    return member {name,
                   name.substr(0, 2),
                   member_role::agent,
                   base::serviceIdOf(service),
                   base::incarnation(incarnation),
                   base::endpoint {0x7f000001, port}};
}

// One control process. Proposed batches are committed at once, unless commits are set to be lost.
class control
{
public:
    void handle(const membership_message &message)
    {
        base::step<membership_state, membership_action> next
            = decide(std::move(m_state), message, m_now);
        m_state = std::move(next.state);
        for (const membership_action &action : next.actions)
            std::visit(base::overloaded {
                           [this](const propose_batch &proposed) { commit(proposed.batch); },
                           [this](const report_conflict &conflict) {
                               m_conflicts.push_back(conflict.winner.name + ">"
                                                     + conflict.loser.name);
                           },
                       },
                       action);
    }

    // Advances the time while these members announce themselves once per second.
    void run(std::int64_t seconds, const std::vector<member> &announcing)
    {
        const base::clock_time end = m_now + base::clock_time::ofSeconds(seconds);
        while (m_now < end) {
            if (m_now.millis() % announceMillis == 0) {
                for (const member &each : announcing)
                    handle(member_announced {each});
            }
            m_now = m_now + tickInterval;
            handle(membership_tick {});
        }
    }

    // "S" serving, "?" suspected, "D" draining, "-" removed.
    std::string phaseOf(const std::string &name) const
    {
        const member *found = find(name);
        if (found == nullptr)
            return "-";
        return found->phase == member_phase::serving  ? "S"
            : found->phase == member_phase::suspected ? "?"
                                                      : "D";
    }
    const member *find(const std::string &name) const
    {
        const auto found = m_state.committed.find(base::nodeIdOf(name));
        return found == m_state.committed.end() ? nullptr : &found->second;
    }

    std::size_t proposals() const { return m_proposals; }
    std::size_t largest() const { return m_largest; }
    const std::vector<std::string> &conflicts() const { return m_conflicts; }
    membership_state &state() { return m_state; }
    void setCommitsLost(bool lost) { m_commitsLost = lost; }

private:
    void commit(const membership_batch &batch)
    {
        ++m_proposals;
        m_largest = std::max(m_largest, batch.updated.size() + batch.removed.size());
        if (!m_commitsLost)
            handle(batch_committed {batch});
    }

    membership_state m_state;
    base::clock_time m_now = start;
    std::size_t m_proposals = 0;
    std::size_t m_largest = 0;
    bool m_commitsLost = false;
    std::vector<std::string> m_conflicts;
};

std::vector<member> without(const std::vector<member> &all, const std::string &prefix)
{
    std::vector<member> rest;
    for (const member &each : all) {
        if (each.name.rfind(prefix, 0) != 0)
            rest.push_back(each);
    }
    return rest;
}

// Four availability zones of four agents.
std::vector<member> fourZones()
{
    std::vector<member> all;
    for (const char *zone : {"z1", "z2", "z3", "z4"}) {
        for (const char *place : {"a", "b", "c", "d"})
            all.push_back(agent(std::string(zone) + place));
    }
    return all;
}

struct silence_case
{
    const char *what;
    const char *silentPrefix;
    std::int64_t seconds;
    const char *phase;
};

} // namespace

TEST_GROUP(membership) {};

TEST(membership, timeoutsDependOnTheNumberOfSilentMembers)
{
    const silence_case cases[] = {
        {"one member, briefly", "z1a", 2, "S"},
        {"one member, suspected", "z1a", 6, "?"},
        {"one member, evicted", "z1a", 15, "-"},
        {"a zone, suspected", "z1", 6, "?"},
        {"a zone, not yet evicted", "z1", 250, "?"},
        {"a zone, evicted", "z1", 310, "-"},
        {"all members: control is disconnected", "z", 20, "S"},
        {"all members, suspected", "z", 40, "?"},
        {"all members, not yet evicted", "z", 290, "?"},
    };
    for (const silence_case &row : cases) {
        control leader;
        const std::vector<member> all = fourZones();
        leader.run(20, all);
        // The second round must have the same result as the first.
        for (int round = 0; round < 2; ++round) {
            leader.run(row.seconds, without(all, row.silentPrefix));
            STRCMP_EQUAL_TEXT(row.phase, leader.phaseOf("z1a").c_str(), row.what);
            leader.run(80, all);
            STRCMP_EQUAL_TEXT("S", leader.phaseOf("z1a").c_str(), row.what);
            STRCMP_EQUAL_TEXT("S", leader.phaseOf("z4d").c_str(), row.what);
        }
    }
}

TEST(membership, aBrieflyDisconnectedControlProposesNothing)
{
    control leader;
    const std::vector<member> all = fourZones();
    leader.run(20, all);
    const std::size_t before = leader.proposals();
    leader.run(25, {});
    leader.run(5, all);
    LONGS_EQUAL(before, leader.proposals());
}

TEST(membership, aFlappingMemberStaysSuspectedUntilItIsStable)
{
    control leader;
    const std::vector<member> all = fourZones();
    leader.run(20, all);
    for (int flap = 0; flap < 3; ++flap) {
        leader.run(5, without(all, "z1a"));
        leader.run(2, all);
    }
    STRCMP_EQUAL("?", leader.phaseOf("z1a").c_str());
    const std::size_t before = leader.proposals();
    leader.run(5, without(all, "z1a"));
    leader.run(5, all);
    LONGS_EQUAL(before, leader.proposals());
    leader.run(12, all);
    STRCMP_EQUAL("S", leader.phaseOf("z1a").c_str());
}

TEST(membership, anAnnouncementClearsSuspicionAtOnce)
{
    control leader;
    const std::vector<member> all = fourZones();
    leader.run(20, all);
    leader.run(6, without(all, "z1a"));
    STRCMP_EQUAL("?", leader.phaseOf("z1a").c_str());
    leader.handle(member_announced {agent("z1a")});
    leader.handle(membership_tick {});
    STRCMP_EQUAL("S", leader.phaseOf("z1a").c_str());
}

TEST(membership, incarnationsAreDistinguished)
{
    struct incarnation_case
    {
        const char *what;
        std::vector<member> announcements;
        std::uint64_t incarnation;
        const char *service;
    };
    const member otherAddress {"z1a",
                               "z1",
                               member_role::agent,
                               base::serviceIdOf("logbook"),
                               base::incarnation(5),
                               base::endpoint {0x7f000001, 9}};
    const incarnation_case cases[] = {
        {"a later incarnation replaces", {agent("z1a", 5), agent("z1a", 6)}, 6, "logbook"},
        {"an earlier incarnation is ignored", {agent("z1a", 6), agent("z1a", 5)}, 6, "logbook"},
        {"a later incarnation has another service",
         {agent("z1a", 5), agent("z1a", 6, "inspect"), agent("z1a", 5)},
         6,
         "inspect"},
        {"one incarnation never changes service",
         {agent("z1a", 5), agent("z1a", 5, "inspect")},
         5,
         "logbook"},
        {"one incarnation never changes address", {agent("z1a", 5), otherAddress}, 5, "logbook"},
        {"announcements are repeated",
         {agent("z1a", 6), agent("z1a", 6), agent("z1a", 5), agent("z1a", 5)},
         6,
         "logbook"},
    };
    for (const incarnation_case &row : cases) {
        control leader;
        leader.run(3, {agent("z1a", 5), agent("z2a")});
        for (const member &each : row.announcements) {
            leader.handle(member_announced {each});
            leader.handle(membership_tick {});
        }
        const member *found = leader.find("z1a");
        CHECK_TEXT(found != nullptr, row.what);
        LONGS_EQUAL_TEXT(row.incarnation, found->incarnation.value(), row.what);
        CHECK_TEXT(found->service == base::serviceIdOf(row.service), row.what);
        CHECK_TEXT(found->packets == agent("z1a").packets, row.what);
    }
}

TEST(membership, theLaterIncarnationGetsASharedAddressAndTheOtherIsReportedOnce)
{
    const member older = agent("z1a", 5);
    const member newer {"z1x",        "z1", member_role::agent, older.service, base::incarnation(6),
                        older.packets};
    for (const bool olderFirst : {true, false}) {
        control leader;
        leader.run(3,
                   olderFirst ? std::vector<member> {older, agent("z2a")}
                              : std::vector<member> {newer, agent("z2a")});
        leader.run(20, {older, newer, agent("z2a")});
        STRCMP_EQUAL("-", leader.phaseOf("z1a").c_str());
        STRCMP_EQUAL("S", leader.phaseOf("z1x").c_str());
        LONGS_EQUAL(1, leader.conflicts().size());
        STRCMP_EQUAL("z1x>z1a", leader.conflicts()[0].c_str());
        // The winner leaves, which frees the address.
        leader.handle(member_left {newer.id(), newer.incarnation});
        leader.run(2, {older, agent("z2a")});
        STRCMP_EQUAL("S", leader.phaseOf("z1a").c_str());
    }
}

TEST(membership, leavingTakesEffectAtOnceAndStaleAnnouncementsAreIgnored)
{
    control leader;
    const std::vector<member> all = fourZones();
    leader.run(20, all);
    leader.handle(member_announced {agent("z1a").withPhase(member_phase::draining)});
    leader.handle(membership_tick {});
    STRCMP_EQUAL("D", leader.phaseOf("z1a").c_str());
    // A stale announcement from before the drain.
    leader.handle(member_announced {agent("z1a")});
    leader.handle(membership_tick {});
    STRCMP_EQUAL("D", leader.phaseOf("z1a").c_str());
    for (int round = 0; round < 2; ++round) {
        leader.handle(member_left {base::nodeIdOf("z1a"), base::incarnation(1)});
        leader.run(1, without(all, "z1a"));
        STRCMP_EQUAL("-", leader.phaseOf("z1a").c_str());
    }
    leader.run(2, all);
    STRCMP_EQUAL("-", leader.phaseOf("z1a").c_str());
    leader.handle(member_announced {agent("z1a", 2)});
    leader.handle(member_left {base::nodeIdOf("z1a"), base::incarnation(1)});
    leader.run(1, without(all, "z1a"));
    STRCMP_EQUAL("S", leader.phaseOf("z1a").c_str());
}

// A wrong notice of leaving kept a live agent out of the view until departedRetention had passed,
// and entries reset the flows of its server.
TEST(membership, aNodeThatKeepsAnnouncingItselfAfterItLeftIsAMemberAgain)
{
    control leader;
    const std::vector<member> all = fourZones();
    leader.run(20, all);
    leader.handle(member_left {base::nodeIdOf("z1a"), base::incarnation(1)});
    leader.run(1, without(all, "z1a"));
    STRCMP_EQUAL("-", leader.phaseOf("z1a").c_str());
    // Announcements that arrive late and at once.
    for (int i = 0; i < 10; ++i)
        leader.handle(member_announced {agent("z1a")});
    leader.run(5, without(all, "z1a"));
    STRCMP_EQUAL("-", leader.phaseOf("z1a").c_str());
    leader.run(5, all);
    STRCMP_EQUAL("S", leader.phaseOf("z1a").c_str());
}

TEST(membership, aNewAgentsShareGrowsAndTheFirstAgentsStartAtAFullShare)
{
    control leader;
    leader.run(2, {agent("z1a"), agent("z2a")});
    LONGS_EQUAL(fullShare, leader.find("z1a")->share);
    LONGS_EQUAL(fullShare, leader.find("z2a")->share);
    const std::vector<member> all {agent("z1a"), agent("z2a"), agent("z3a")};
    for (int share = 1; share <= fullShare; ++share) {
        leader.run(2, all);
        LONGS_EQUAL(share, leader.find("z3a")->share);
        leader.run(4, all);
    }
    const std::size_t before = leader.proposals();
    leader.run(10, all);
    LONGS_EQUAL(before, leader.proposals());
}

TEST(membership, noMemberIsEvictedBeforeAFullTimeoutAfterARestartOrANewLeader)
{
    const std::vector<member> all = fourZones();
    control restarted;
    restarted.handle(batch_committed {membership_batch {all, {}}});
    restarted.handle(batch_committed {membership_batch {{}, {base::nodeIdOf("z4d")}}});
    restarted.run(2, {});
    LONGS_EQUAL(0, restarted.proposals());
    STRCMP_EQUAL("-", restarted.phaseOf("z4d").c_str());

    control follower;
    follower.handle(leadership_changed {false});
    follower.handle(batch_committed {membership_batch {all, {}}});
    follower.run(1000, {});
    LONGS_EQUAL(0, follower.proposals());
    follower.handle(leadership_changed {true});
    follower.run(11, without(all, "z1a"));
    STRCMP_EQUAL("?", follower.phaseOf("z1a").c_str());
    follower.run(4, without(all, "z1a"));
    STRCMP_EQUAL("-", follower.phaseOf("z1a").c_str());
    STRCMP_EQUAL("S", follower.phaseOf("z4d").c_str());
}

// When all processes have ended, a control VM keeps the announcements of nodes until it leads, and
// delivers them after the notice of its leadership and before the entries of earlier terms. Guards
// against an agent that is a member in its earlier incarnation until it announces itself again.
TEST(membership, anAnnouncementToANewLeaderOutlastsTheEntriesOfEarlierTerms)
{
    control vm;
    vm.handle(leadership_changed {false});
    vm.handle(leadership_changed {true});
    vm.handle(member_announced {agent("a1", 2)});
    vm.handle(batch_committed {{{agent("a1", 1)}, {}}});
    vm.handle(membership_tick {});
    LONGS_EQUAL(2, vm.find("a1")->incarnation.value());
}

TEST(membership, batchesAreBoundedAndALostOneIsRetried)
{
    std::vector<member> many;
    for (std::uint16_t i = 0; i < 1000; ++i)
        many.push_back(member {"n" + std::to_string(i), "z1", member_role::agent,
                               base::serviceIdOf("logbook"), base::incarnation(1),
                               base::endpoint {0x7f000001, i}});
    control leader;
    leader.setCommitsLost(true);
    leader.run(3, many);
    LONGS_EQUAL(0, leader.state().committed.size());
    leader.setCommitsLost(false);
    leader.run(3, many);
    LONGS_EQUAL(many.size(), leader.state().committed.size());
    LONGS_EQUAL(leader.state().policy->maxBatch, leader.largest());
}
