// A backend server's announcements: delayed, repeated, contradictory, or from an earlier
// incarnation.

#include "lycheeshunt/servers/decision.h"

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using namespace lycheeshunt::servers;

namespace {

constexpr std::uint32_t slots = 7;

base::clock_time at(std::int64_t millis)
{
    return base::clock_time::ofMillis(millis);
}

server_announcement announcementOf(const std::string &identity, std::int64_t startedAt,
                                   std::uint64_t sequence, bool isDraining = false,
                                   const std::string &service = "logbook", std::int64_t warmup = 0)
{
    return server_announcement {identity,   at(startedAt), sequence,  service,
                                isDraining, slots,         at(warmup)};
}

} // namespace

TEST_GROUP(servers)
{
    servers_state state;
    std::vector<server_action> actions;

    void setup() override
    {
        state.incarnation = base::incarnation(100);
        state.service = "logbook";
    }

    void deliver(const server_message &message, std::int64_t now)
    {
        base::step<servers_state, server_action> next = decide(std::move(state), message, at(now));
        state = std::move(next.state);
        actions.swap(next.actions);
    }

    void announce(const server_announcement &announcement, std::int64_t now)
    {
        deliver(server_announced {base::request_id(1), announcement}, now);
        // Every announcement gets a reply, whether or not it takes effect.
        CHECK(std::holds_alternative<confirm_announcement>(actions.back()));
    }

    void checkIsRejected(const server_announcement &announcement, std::int64_t now)
    {
        const servers_state before = state;
        deliver(server_announced {base::request_id(9), announcement}, now);
        CHECK_EQUAL(1U, actions.size());
        const reject_announcement *rejected = std::get_if<reject_announcement>(&actions.front());
        CHECK(rejected != nullptr);
        CHECK_EQUAL(9U, rejected->request.value());
        CHECK(rejected->reason.code == base::error_code::announcedServiceMismatch);
        CHECK(state.current == before.current);
        CHECK(state.published == before.published);
        CHECK(state.incarnation == before.incarnation);
        CHECK(state.lastHeard == before.lastHeard);
        CHECK_EQUAL(before.starts, state.starts);
        CHECK_EQUAL(before.isUnavailable, state.isUnavailable);
    }

    bool isAccepting() const
    {
        return state.published && state.published->isAccepting;
    }
};

TEST(servers, noFlowsAreAcceptedBeforeTheFirstAnnouncement)
{
    deliver(servers_tick {}, 10'000);
    CHECK(actions.empty());
    announce(announcementOf("i-1", 5, 1), 10'100);
    CHECK(isAccepting());
    CHECK_EQUAL(100U, state.published->incarnation.value());
    CHECK_EQUAL(slots, state.published->slots);
}

TEST(servers, drainingTakesEffectBeforeTheReply)
{
    announce(announcementOf("i-1", 5, 1), 0);
    announce(announcementOf("i-1", 5, 2, true), 1000);
    CHECK_EQUAL(2U, actions.size());
    CHECK_FALSE(std::get<server_status>(actions.front()).isAccepting);
    // Neither a delayed announcement nor a later one of the same incarnation reverts it.
    announce(announcementOf("i-1", 5, 1), 1100);
    announce(announcementOf("i-1", 5, 3), 1200);
    CHECK_FALSE(isAccepting());
}

TEST(servers, aDelayedAnnouncementOfAnEarlierIncarnationIsIgnored)
{
    announce(announcementOf("i-1", 5, 9), 0);
    announce(announcementOf("i-2", 50, 1), 1000);
    CHECK_EQUAL(101U, state.published->incarnation.value());
    announce(announcementOf("i-1", 5, 10), 1100);
    STRCMP_EQUAL("i-2", state.current->identity.c_str());
    CHECK_EQUAL(101U, state.published->incarnation.value());
}

TEST(servers, aServerRestartedUnderItsIdentityStartsItsSequenceAnew)
{
    announce(announcementOf("i-1", 5, 40, true), 0);
    announce(announcementOf("i-1", 60, 1), 1000);
    CHECK(isAccepting());
    CHECK_EQUAL(101U, state.published->incarnation.value());
}

TEST(servers, anIncarnationWhoseClockWasSetBackReplacesASilentOne)
{
    announce(announcementOf("i-1", 5000, 3), 0);
    announce(announcementOf("i-2", 2600, 1), 1000);
    CHECK_EQUAL(100U, state.published->incarnation.value());
    announce(announcementOf("i-2", 2600, 4), 4600);
    CHECK_EQUAL(101U, state.published->incarnation.value());
}

TEST(servers, aSilentServerGetsNoNewFlowsUntilItsNextAnnouncement)
{
    announce(announcementOf("i-1", 5, 1), 0);
    deliver(servers_tick {}, 3900);
    CHECK(actions.empty());
    deliver(servers_tick {}, 4000);
    CHECK_FALSE(isAccepting());
    announce(announcementOf("i-1", 5, 5), 6000);
    CHECK(isAccepting());
    // The incarnation that other nodes have seen drain never serves again.
    CHECK_EQUAL(101U, state.published->incarnation.value());
}

TEST(servers, anIncarnationKeepsItsService)
{
    announce(announcementOf("i-1", 5, 1), 0);
    checkIsRejected(announcementOf("i-1", 5, 2, false, "nobody"), 100);
    STRCMP_EQUAL("logbook", state.current->service.c_str());
}

// Guards against requests that are run by a server of another service: an announcement of another
// writer, complete but for the service, made the agent one of that service.
TEST(servers, anAnnouncementOfAnotherServiceIsRejectedAndChangesNothing)
{
    // Before the server's first announcement.
    checkIsRejected(announcementOf("i-9", 900, 1, false, "inspect"), 0);
    CHECK(state.published == nullptr);
    announce(announcementOf("i-1", 5, 1), 100);
    // Beside a server that announces itself: later start, earlier start, the same identity, or the
    // same incarnation with a later number.
    for (const auto &[identity, startedAt] : std::vector<std::pair<std::string, std::int64_t>> {
             {"i-9", 900}, {"i-9", 1}, {"i-1", 900}, {"i-1", 5}})
        checkIsRejected(announcementOf(identity, startedAt, 7, false, "inspect"), 200);
    checkIsRejected(announcementOf("i-1", 5, 8, true, "inspect"), 300);
    // Beside a server that drains, and beside one that has been silent for too long.
    announce(announcementOf("i-1", 5, 2, true), 1000);
    checkIsRejected(announcementOf("i-9", 900, 1, false, "inspect"), 1100);
    deliver(servers_tick {}, 9000);
    checkIsRejected(announcementOf("i-9", 900, 2, false, "inspect"), 9100);
    CHECK_FALSE(isAccepting());
    // The reason names object, value and limit.
    STRCMP_CONTAINS("service of i-9 is \"inspect\", must be \"logbook\"",
                    std::get<reject_announcement>(actions.front()).reason.text().c_str());
}

// Guards against resets of open flows: while the agent serves by the status in the view, an
// announcement of another service must not take its place.
TEST(servers, anAnnouncementOfAnotherServiceDoesNotReplaceARestoredStatus)
{
    deliver(server_restored {base::incarnation(300), slots}, 0);
    checkIsRejected(announcementOf("i-9", 900, 1, false, "inspect"), 100);
    CHECK(isAccepting());
    deliver(servers_tick {}, 2600);
    CHECK_FALSE(isAccepting());
}

// Guards against a rule that takes the lawful next server out of service: a rejected announcement
// has no influence on which server counts.
TEST(servers, theNextServerCountsAfterARejectedAnnouncement)
{
    announce(announcementOf("i-1", 5000, 3), 0);
    checkIsRejected(announcementOf("i-9", 99'000, 50, false, "inspect"), 100);
    // Same identity, later start; then an earlier start after the server has been silent.
    announce(announcementOf("i-1", 6000, 1), 1000);
    CHECK_EQUAL(101U, state.published->incarnation.value());
    checkIsRejected(announcementOf("i-9", 99'000, 51, false, "inspect"), 4900);
    announce(announcementOf("i-2", 2600, 4), 5000);
    CHECK_EQUAL(102U, state.published->incarnation.value());
    CHECK(isAccepting());
}

TEST(servers, aStoppingMessageAffectsOnlyTheServerThatItNames)
{
    announce(announcementOf("i-1", 5, 1), 0);
    deliver(server_stopping {base::request_id(2), "i-other"}, 10);
    CHECK(isAccepting());
    deliver(server_stopping {base::request_id(3), "i-1"}, 20);
    CHECK_FALSE(isAccepting());
}

TEST(servers, aServerThatStartedBeforeItsAgentMayHoldFlowsUnknownToTheAgent)
{
    announce(announcementOf("i-1", 5, 200), 0);
    CHECK(state.published->startedBeforeAgent);
    announce(announcementOf("i-2", 50, 1), 1000);
    CHECK_FALSE(state.published->startedBeforeAgent);
}

// Guards against resets of open flows at a server that is older than its agent: after a silence it
// is the same server and still holds the flows that the agent does not know.
TEST(servers, aSilentServerThatResumesIsStillOlderThanItsAgent)
{
    announce(announcementOf("i-1", 5, 200), 0);
    deliver(servers_tick {}, 4000);
    CHECK_FALSE(isAccepting());
    CHECK(state.published->startedBeforeAgent);
    announce(announcementOf("i-1", 5, 205), 6000);
    CHECK(isAccepting());
    CHECK(state.published->startedBeforeAgent);
    // A server that started after the agent does not become older than it.
    announce(announcementOf("i-2", 6500, 1), 7000);
    deliver(servers_tick {}, 11'000);
    announce(announcementOf("i-2", 6500, 5), 13'000);
    CHECK(isAccepting());
    CHECK_FALSE(state.published->startedBeforeAgent);
}

// Guards against resets of open flows by an agent that restarts soon after its server has started:
// the earlier agent may have opened flows before the server's second announcement.
TEST(servers, theFirstServerThatAnAgentHearsMayBeOlderWhateverItsSequence)
{
    for (std::uint64_t sequence = 1; sequence <= 4; ++sequence) {
        state = servers_state {};
        state.service = "logbook";
        announce(announcementOf("i-1", 5, sequence), 0);
        CHECK(state.published->startedBeforeAgent);
        announce(announcementOf("i-1", 5, sequence + 1), 1200);
        CHECK(state.published->startedBeforeAgent);
    }
}

// Guards against resets of open flows when a delayed announcement of the server's predecessor is
// the first one that a restarted agent hears.
TEST(servers, aServerHeardAfterItsDelayedPredecessorMayBeOlderThanItsAgent)
{
    announce(announcementOf("i-1", 5, 9), 0);
    announce(announcementOf("i-2", 50, 40), 100);
    CHECK(state.published->startedBeforeAgent);
}

// Guards against resets of open flows by an agent whose status from the view is replaced by the
// first announcement of a server that has just started.
TEST(servers, aRestoredServerIsOlderThanItsAgentAfterItsFirstAnnouncement)
{
    deliver(server_restored {base::incarnation(300), slots}, 0);
    CHECK(state.published->startedBeforeAgent);
    announce(announcementOf("i-1", 5, 2), 1000);
    CHECK(state.published->startedBeforeAgent);
}

TEST(servers, aStoppingAgentAcceptsNoNewFlows)
{
    announce(announcementOf("i-1", 5, 1), 0);
    deliver(agent_stopping {}, 10);
    CHECK_FALSE(isAccepting());
    announce(announcementOf("i-1", 5, 2), 20);
    CHECK_FALSE(isAccepting());
}

TEST(servers, aLaterIncarnationFromTheViewIsTaken)
{
    announce(announcementOf("i-1", 5, 1), 0);
    deliver(incarnation_changed {base::incarnation(500)}, 10);
    CHECK_EQUAL(500U, state.published->incarnation.value());
}

TEST(servers, aStatusRestoredFromTheViewAppliesUntilTheFirstAnnouncement)
{
    deliver(server_restored {base::incarnation(300), slots}, 0);
    CHECK(isAccepting());
    CHECK_EQUAL(301U, state.published->incarnation.value());
    announce(announcementOf("i-1", 5, 90), 1000);
    CHECK(isAccepting());
    CHECK_EQUAL(301U, state.published->incarnation.value());
    CHECK(state.published->startedBeforeAgent);
}

TEST(servers, aRestoredServerThatDrainsGetsNoNewFlows)
{
    deliver(server_restored {base::incarnation(300), slots}, 0);
    announce(announcementOf("i-1", 5, 90, true), 1000);
    CHECK_FALSE(isAccepting());
}

TEST(servers, aRestoredServerWithoutAnnouncementsExpires)
{
    deliver(server_restored {base::incarnation(300), slots}, 0);
    deliver(servers_tick {}, 2500);
    CHECK(isAccepting());
    deliver(servers_tick {}, 2600);
    CHECK_FALSE(isAccepting());
    // A later announcement starts another incarnation.
    announce(announcementOf("i-2", 9000, 1), 4000);
    CHECK(isAccepting());
    CHECK_EQUAL(302U, state.published->incarnation.value());
}

TEST(servers, anAnnouncedServerIsNotRestoredFromTheView)
{
    announce(announcementOf("i-1", 5, 2, true), 0);
    deliver(server_restored {base::incarnation(300), slots}, 10);
    CHECK_FALSE(isAccepting());
}

// The agent of a server that is about to exit has nothing left to serve and need not return.
TEST(servers, aStoppingServerIsReportedAsSuchUntilAnotherIncarnationStarts)
{
    announce(announcementOf("i1", 1000, 1), 1000);
    deliver(server_stopping {base::request_id(2), "i1"}, 2000);
    CHECK(state.published->isServerStopping);
    CHECK_FALSE(isAccepting());
    deliver(agent_stopping {}, 2100);
    CHECK(state.published->isServerStopping);
    announce(announcementOf("i2", 3000, 1), 3000);
    CHECK_FALSE(state.published->isServerStopping);
}

TEST(servers, aDrainingServerIsNotStopping)
{
    announce(announcementOf("i1", 1000, 1), 1000);
    announce(announcementOf("i1", 1000, 2, true), 2000);
    deliver(agent_stopping {}, 2100);
    CHECK_FALSE(state.published->isServerStopping);
}

// The limit of a cold server must be known before it gets its first flow, and control must not get
// a message for each announcement of it.
TEST(servers, theWarmUpIsPublishedBeforeTheStatusAndNotAsOne)
{
    announce(announcementOf("i-1", 5, 1, false, "logbook", 3000), 0);
    CHECK_EQUAL(3U, actions.size());
    CHECK(std::get<server_warmup>(actions[0]) == (server_warmup {at(3000), 1}));
    CHECK(std::holds_alternative<server_status>(actions[1]));
    announce(announcementOf("i-1", 5, 2, false, "logbook", 1800), 1210);
    CHECK_EQUAL(2U, actions.size());
    CHECK(std::get<server_warmup>(actions[0]) == (server_warmup {at(3010), 1}));
    announce(announcementOf("i-1", 5, 3), 3100);
    CHECK(std::get<server_warmup>(actions[0]) == (server_warmup {at(0), 1}));
    announce(announcementOf("i-1", 5, 4), 4300);
    CHECK_EQUAL(1U, actions.size());
}

// A server that was only silent is a new incarnation to other nodes, but has had its tokens.
TEST(servers, silenceIsNoStartOfTheServer)
{
    announce(announcementOf("i-1", 5, 1, false, "logbook", 9000), 0);
    deliver(servers_tick {}, 4000);
    announce(announcementOf("i-1", 5, 5, false, "logbook", 4000), 5000);
    CHECK_EQUAL(101U, state.published->incarnation.value());
    CHECK_EQUAL(1U, std::get<server_warmup>(actions[0]).serverStarts);
    announce(announcementOf("i-1", 5100, 1, false, "logbook", 9000), 6000);
    CHECK_EQUAL(2U, std::get<server_warmup>(actions[0]).serverStarts);
    // A delayed announcement of the earlier start changes nothing.
    announce(announcementOf("i-1", 5, 6), 6100);
    CHECK_EQUAL(1U, actions.size());
}
