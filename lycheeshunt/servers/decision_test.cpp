// A backend server's announcements: late, repeated, contradictory, from an earlier life.

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

server_announcement said(const std::string &identity, std::int64_t startedAt,
                         std::uint64_t sequence, bool isDraining = false,
                         const std::string &service = "logbook")
{
    return server_announcement {identity, at(startedAt), sequence, service, isDraining, slots};
}

} // namespace

TEST_GROUP(servers)
{
    servers_state state;
    std::vector<server_action> actions;

    void setup() override
    {
        state.life = base::incarnation(100);
    }

    void give(const server_message &message, std::int64_t now)
    {
        base::step<servers_state, server_action> next = decide(std::move(state), message, at(now));
        state = std::move(next.state);
        actions.swap(next.actions);
    }

    void announce(const server_announcement &announcement, std::int64_t now)
    {
        give(server_announced {base::request_id(1), announcement}, now);
        // Whatever it says, the server is not left without an answer.
        CHECK(std::holds_alternative<confirm_announcement>(actions.back()));
    }

    bool isAccepting() const
    {
        return state.told && state.told->isAccepting;
    }
};

TEST(servers, nothingIsAcceptedBeforeTheFirstAnnouncement)
{
    give(servers_tick {}, 10'000);
    CHECK(actions.empty());
    announce(said("i-1", 5, 1), 10'100);
    CHECK(isAccepting());
    CHECK_EQUAL(100U, state.told->life.value());
    CHECK_EQUAL(slots, state.told->slots);
}

TEST(servers, drainingTakesEffectBeforeItIsConfirmed)
{
    announce(said("i-1", 5, 1), 0);
    announce(said("i-1", 5, 2, true), 1000);
    CHECK_EQUAL(2U, actions.size());
    CHECK_FALSE(std::get<server_status>(actions.front()).isAccepting);
    // A late one of before, and even a later one, do not undo it.
    announce(said("i-1", 5, 1), 1100);
    announce(said("i-1", 5, 3), 1200);
    CHECK_FALSE(isAccepting());
}

TEST(servers, aLateAnnouncementOfAnEarlierLifeIsNoServerToUse)
{
    announce(said("i-1", 5, 9), 0);
    announce(said("i-2", 50, 1, false, "inspect"), 1000);
    CHECK_EQUAL(101U, state.told->life.value());
    announce(said("i-1", 5, 10), 1100);
    STRCMP_EQUAL("inspect", state.told->service.c_str());
    CHECK_EQUAL(101U, state.told->life.value());
}

TEST(servers, aServerBornAgainUnderItsIdentityStartsItsCountsAnew)
{
    announce(said("i-1", 5, 40, true), 0);
    announce(said("i-1", 60, 1), 1000);
    CHECK(isAccepting());
    CHECK_EQUAL(101U, state.told->life.value());
}

TEST(servers, aLifeWhoseClockWasSetBackIsBelievedOnceTheOtherIsSilent)
{
    announce(said("i-1", 5000, 3), 0);
    announce(said("i-2", 2600, 1), 1000);
    CHECK_EQUAL(100U, state.told->life.value());
    announce(said("i-2", 2600, 4), 4600);
    CHECK_EQUAL(101U, state.told->life.value());
}

TEST(servers, aSilentServerGetsNoNewFlowsUntilItSpeaksAgain)
{
    announce(said("i-1", 5, 1), 0);
    give(servers_tick {}, 3900);
    CHECK(actions.empty());
    give(servers_tick {}, 4000);
    CHECK_FALSE(isAccepting());
    announce(said("i-1", 5, 5), 6000);
    CHECK(isAccepting());
    // The life that drained in the eyes of the others never serves again.
    CHECK_EQUAL(101U, state.told->life.value());
}

TEST(servers, oneLifeHasOneService)
{
    announce(said("i-1", 5, 1), 0);
    announce(said("i-1", 5, 2, false, "nobody"), 100);
    STRCMP_EQUAL("logbook", state.told->service.c_str());
}

TEST(servers, aFarewellEndsTheLifeThatItNames)
{
    announce(said("i-1", 5, 1), 0);
    give(server_stopping {base::request_id(2), "i-other"}, 10);
    CHECK(isAccepting());
    give(server_stopping {base::request_id(3), "i-1"}, 20);
    CHECK_FALSE(isAccepting());
}

TEST(servers, aServerOlderThanItsAgentMayHoldFlowsThatTheAgentNeverSaw)
{
    announce(said("i-1", 5, 200), 0);
    CHECK(state.told->startedBeforeAgent);
    announce(said("i-2", 50, 1), 1000);
    CHECK_FALSE(state.told->startedBeforeAgent);
}

TEST(servers, anAgentThatStopsAcceptsNothingMore)
{
    announce(said("i-1", 5, 1), 0);
    give(agent_stopping {}, 10);
    CHECK_FALSE(isAccepting());
    announce(said("i-1", 5, 2), 20);
    CHECK_FALSE(isAccepting());
}

TEST(servers, aLaterIncarnationThatTheViewKnewIsTaken)
{
    announce(said("i-1", 5, 1), 0);
    give(life_taken {base::incarnation(500)}, 10);
    CHECK_EQUAL(500U, state.told->life.value());
}

TEST(servers, whatTheViewSaidOfTheServerHoldsUntilItSpeaks)
{
    give(server_restored {"logbook", base::incarnation(300), slots}, 0);
    CHECK(isAccepting());
    CHECK_EQUAL(301U, state.told->life.value());
    announce(said("i-1", 5, 90), 1000);
    CHECK(isAccepting());
    CHECK_EQUAL(301U, state.told->life.value());
    CHECK(state.told->startedBeforeAgent);
}

TEST(servers, aRecalledServerThatDrainsGetsNothingMore)
{
    give(server_restored {"logbook", base::incarnation(300), slots}, 0);
    announce(said("i-1", 5, 90, true), 1000);
    CHECK_FALSE(isAccepting());
}

TEST(servers, aRecalledServerThatNeverSpeaksIsForgotten)
{
    give(server_restored {"logbook", base::incarnation(300), slots}, 0);
    give(servers_tick {}, 2500);
    CHECK(isAccepting());
    give(servers_tick {}, 2600);
    CHECK_FALSE(isAccepting());
    // What comes then is another life.
    announce(said("i-2", 9000, 1), 4000);
    CHECK(isAccepting());
    CHECK_EQUAL(302U, state.told->life.value());
}

TEST(servers, aServerThatHasSpokenIsNotRecalled)
{
    announce(said("i-1", 5, 2, true), 0);
    give(server_restored {"logbook", base::incarnation(300), slots}, 10);
    CHECK_FALSE(isAccepting());
}

// The agent of a server that has said that it ends has nothing to come back to.
TEST(servers, aServerThatLeavesIsToldAsGoneUntilAnotherLifeBegins)
{
    announce(said("i1", 1000, 1), 1000);
    give(server_stopping {base::request_id(2), "i1"}, 2000);
    CHECK(state.told->isServerStopping);
    CHECK_FALSE(isAccepting());
    give(agent_stopping {}, 2100);
    CHECK(state.told->isServerStopping);
    announce(said("i2", 3000, 1), 3000);
    CHECK_FALSE(state.told->isServerStopping);
}

TEST(servers, aDrainingServerHasNotLeft)
{
    announce(said("i1", 1000, 1), 1000);
    announce(said("i1", 1000, 2, true), 2000);
    give(agent_stopping {}, 2100);
    CHECK_FALSE(state.told->isServerStopping);
}
