// Without these decisions silent connections keep new ones out, or a crowd from one address closes
// connections of others, of clients between requests, or of clients that wait for an answer.

#include "lycheeshunt/http/internal/connection_decision.h"

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt::http;
using namespace lycheeshunt::http::internal;
using lycheeshunt::base::clock_time;

namespace {

constexpr std::uint32_t crowd = 1;
constexpr std::uint32_t other = 2;

} // namespace

// Room for 8 connections, 4 from each address, and for 100 bytes of bodies.
TEST_GROUP(connection_decision)
{
    connection_state state {
        std::make_shared<const connection_limits>(connection_limits {8, 4, 100})};
    clock_time now = clock_time::ofSeconds(1000);
    std::vector<connection_action> actions;

    // A millisecond passes before each message.
    void handle(const connection_message &message)
    {
        now = now + clock_time::ofMillis(1);
        lycheeshunt::base::step<connection_state, connection_action> next
            = decide(std::move(state), message, now);
        state = std::move(next.state);
        actions = std::move(next.actions);
        CHECK_FALSE(next.fault.has_value());
    }
    void open(std::uint64_t first, std::uint64_t last, std::uint32_t address)
    {
        for (std::uint64_t id = first; id <= last; ++id)
            handle(connection_opened {connection_id(id), address});
    }
    void enter(std::uint64_t first, std::uint64_t last, connection_phase phase)
    {
        for (std::uint64_t id = first; id <= last; ++id)
            handle(phase_entered {connection_id(id), phase});
    }
    void expectBody(std::uint64_t id, std::size_t bytes)
    {
        handle(body_expected {connection_id(id), bytes});
    }
    // The connection that the last message has closed, or 0.
    std::uint64_t closed() const
    {
        CHECK(actions.size() <= 1);
        return actions.empty()
            ? 0
            : std::visit([](const auto &action) { return action.connection.value(); }, actions[0]);
    }
    void checkEvicted(std::uint64_t id, eviction_reason reason) const
    {
        LONGS_EQUAL(id, closed());
        const evict_connection *evicted = std::get_if<evict_connection>(&actions[0]);
        CHECK(evicted && evicted->reason == reason);
    }
};

TEST(connection_decision, anAddressAtItsLimitLosesItsOldestConnectionWithoutARequest)
{
    open(1, 1, other);
    open(2, 5, crowd);
    enter(2, 2, connection_phase::answering);
    open(6, 6, crowd);
    checkEvicted(3, eviction_reason::connectionsPerAddress);
}

TEST(connection_decision, anAddressIsNotRefusedForItsCompleteRequests)
{
    open(1, 4, crowd);
    enter(1, 4, connection_phase::answering);
    open(5, 5, crowd);
    LONGS_EQUAL(0, closed());
    LONGS_EQUAL(5, state.connections.size());
}

TEST(connection_decision, theOldestConnectionWithoutARequestMakesRoomForAnyAddress)
{
    open(1, 4, crowd);
    open(5, 8, other);
    enter(1, 2, connection_phase::writing);
    open(9, 9, 3);
    checkEvicted(3, eviction_reason::connections);
}

TEST(connection_decision, aConnectionIsRefusedOnlyIfEveryOtherHasACompleteRequest)
{
    open(1, 4, crowd);
    open(5, 8, other);
    enter(1, 8, connection_phase::answering);
    open(9, 9, 3);
    CHECK(actions.size() == 1
          && actions[0] == connection_action(refuse_connection {connection_id(9), 3}));
    LONGS_EQUAL(8, state.connections.size());
}

TEST(connection_decision, aConnectionBetweenRequestsIsKeptWhileOthersHaveSentNone)
{
    open(1, 4, crowd);
    enter(1, 3, connection_phase::idle);
    open(5, 5, crowd);
    checkEvicted(4, eviction_reason::connectionsPerAddress);
}

TEST(connection_decision, aQuarterOfTheRoomIsLeftToConnectionsWithoutARequest)
{
    open(1, 4, crowd);
    enter(1, 4, connection_phase::idle);
    open(5, 5, crowd);
    checkEvicted(1, eviction_reason::connectionsPerAddress);
    open(6, 6, crowd);
    checkEvicted(5, eviction_reason::connectionsPerAddress);
}

TEST(connection_decision, aByteOfAHeaderIsNoProgressButAPartOfABodyIs)
{
    open(1, 4, crowd);
    enter(1, 2, connection_phase::header);
    expectBody(1, 10);
    open(5, 5, crowd);
    checkEvicted(2, eviction_reason::connectionsPerAddress);
    handle(body_progressed {connection_id(1)});
    open(6, 7, crowd);
    checkEvicted(4, eviction_reason::connectionsPerAddress);
    open(8, 8, crowd);
    checkEvicted(5, eviction_reason::connectionsPerAddress);
}

TEST(connection_decision, withoutDescriptorsAConnectionWithoutARequestIsClosed)
{
    open(1, 2, crowd);
    enter(1, 1, connection_phase::answering);
    handle(descriptors_exhausted {});
    checkEvicted(2, eviction_reason::descriptors);
    handle(descriptors_exhausted {});
    LONGS_EQUAL(0, closed());
}

TEST(connection_decision, theOldestBodyMakesRoomForANewOne)
{
    open(1, 3, crowd);
    expectBody(1, 40);
    expectBody(2, 40);
    enter(1, 1, connection_phase::answering);
    expectBody(3, 60);
    LONGS_EQUAL(0, closed());
    open(4, 4, crowd);
    expectBody(4, 20);
    checkEvicted(2, eviction_reason::bodyBytes);
}

TEST(connection_decision, eachPhaseHasItsTimeoutButACompleteRequestHasNone)
{
    const connection_limits limits;
    open(1, 4, crowd);
    enter(2, 3, connection_phase::header);
    expectBody(3, 10);
    enter(4, 4, connection_phase::answering);
    now = now + limits.headerTimeout - clock_time::ofMillis(5);
    handle(time_passed {});
    LONGS_EQUAL(0, closed());
    handle(time_passed {});
    LONGS_EQUAL(2, closed());
    now = now + limits.bodyTimeout;
    handle(time_passed {});
    LONGS_EQUAL(2, actions.size());
    now = now + clock_time::ofSeconds(3600);
    handle(time_passed {});
    LONGS_EQUAL(0, closed());
}
