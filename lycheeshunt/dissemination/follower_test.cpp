// The follower against a stream server: the messages that control receives when a node starts and
// stops.

#include "lycheeshunt/dissemination/follower.h"

#include "lycheeshunt/dissemination/cluster_view.h"
#include "lycheeshunt/dissemination/codec.h"
#include "lycheeshunt/dissemination/follower_decision.h"
#include "lycheeshunt/dissemination/snapshot.h"

#include "lycheeshunt/membership/codec.h"
#include "lycheeshunt/streams/stream_server.h"

#include <CppUTest/TestHarness.h>

#include <latch>

using namespace lycheeshunt;

namespace {

constexpr std::size_t eventCapacity = 64;

membership::member entryNode()
{
    return membership::member {"entry-1",
                               "zone-1",
                               membership::member_role::entry,
                               base::service_id(),
                               base::incarnation(7),
                               base::endpoint {0x7f000001, 9}};
}

// Returns the next message of this type on the membership channel.
template <typename message_type>
message_type await(base::ring<streams::stream_event> &events)
{
    while (true) {
        const std::optional<streams::stream_event> event = events.pop();
        const streams::stream_frame *frame = std::get_if<streams::stream_frame>(&*event);
        if (frame == nullptr || frame->channel != streams::channel::membership)
            continue;
        const base::result<membership::member_frame> message
            = membership::decodeFrame(frame->bytes);
        if (const message_type *found = std::get_if<message_type>(&base::valueOf(message)))
            return *found;
    }
}

// Returns the connection that the next request for a view comes on. Fails on a message of the
// membership channel before it.
streams::connection_id awaitRequest(base::ring<streams::stream_event> &events)
{
    while (true) {
        const std::optional<streams::stream_event> event = events.pop();
        const streams::stream_frame *frame = std::get_if<streams::stream_frame>(&*event);
        if (frame == nullptr)
            continue;
        CHECK(frame->channel == streams::channel::dissemination);
        const base::result<dissemination::node_message> message
            = dissemination::decodeNodeMessage(frame->bytes);
        if (std::holds_alternative<dissemination::view_request>(base::valueOf(message)))
            return frame->connection;
    }
}

} // namespace

TEST_GROUP(follower) {};

// A running node that is no longer a member repeats member_left until control's view omits it, so
// that no other node waits for its replies.
TEST(follower, aNodeThatHasLeftRepeatsItUntilControlsViewOmitsIt)
{
    const membership::member self = entryNode();
    const base::clock_time start = base::clock_time::ofSeconds(10);
    dissemination::follower_state state = dissemination::makeFollowerState(self);
    std::size_t leaves = 0;
    const auto handle = [&](const dissemination::follower_message &message, base::clock_time now) {
        base::step<dissemination::follower_state, dissemination::follower_action> next
            = dissemination::decide(std::move(state), message, now);
        state = std::move(next.state);
        for (const dissemination::follower_action &action : next.actions)
            leaves += std::holds_alternative<dissemination::leave_group>(action) ? 1 : 0;
    };
    const auto setView = [&](bool isMember) {
        std::map<base::node_id, membership::member> members;
        if (isMember)
            members.emplace(self.id(), self);
        state.view = std::make_shared<const dissemination::cluster_view>(
            dissemination::cluster_view {base::generation(1), {}, members});
    };
    setView(true);
    handle(dissemination::link_opened {streams::connection_id(1)}, start);
    LONGS_EQUAL(0, leaves);
    handle(dissemination::self_changed {self, false}, start);
    LONGS_EQUAL(1, leaves);
    handle(dissemination::follower_tick {}, start + base::clock_time::ofSeconds(2));
    LONGS_EQUAL(2, leaves);
    setView(false);
    handle(dissemination::follower_tick {}, start + base::clock_time::ofSeconds(4));
    LONGS_EQUAL(2, leaves);
}

// An agent that restarts next to a serving backend server is not announced yet. The member in the
// view is its previous incarnation, which it must not remove.
TEST(follower, aNodeThatWasNotAnnouncedDoesNotLeave)
{
    const membership::member self = entryNode();
    dissemination::follower_state state = dissemination::makeFollowerState(self);
    state.isAnnounced = false;
    std::map<base::node_id, membership::member> members;
    members.emplace(self.id(), self);
    state.view = std::make_shared<const dissemination::cluster_view>(
        dissemination::cluster_view {base::generation(1), {}, members});
    const base::clock_time now = base::clock_time::ofSeconds(10);
    const base::step<dissemination::follower_state, dissemination::follower_action> next
        = dissemination::decide(std::move(state),
                                dissemination::link_opened {streams::connection_id(1)}, now);
    for (const dissemination::follower_action &action : next.actions)
        CHECK_FALSE(std::holds_alternative<dissemination::leave_group>(action));
}

// An agent that was restarted sent member_left for its own incarnation while the view still had its
// previous process, and control ignored its later announcements.
TEST(follower, aNodeThatIsNotAnnouncedYetDoesNotLeaveForItsPreviousProcess)
{
    base::ring<streams::stream_event> events(eventCapacity);
    const std::unique_ptr<streams::stream_server> server
        = base::takeValue(streams::stream_server::listen(
            base::endpoint {0x7f000001, 0}, {},
            [&events](const streams::stream_event &event) { events.push(event); }));
    const membership::member previous = entryNode();
    const membership::member self {previous.name,    previous.availabilityZone, previous.role,
                                   previous.service, base::incarnation(8),      previous.packets};
    std::latch adopted(1);
    dissemination::follower node(
        {server->local()}, self, 1,
        [&](const dissemination::shared_view &) { adopted.count_down(); }, {}, false);
    const streams::connection_id first = awaitRequest(events);
    const dissemination::cluster_view view {base::generation(1), {}, {{previous.id(), previous}}};
    const dissemination::snapshot_part only = dissemination::partAfter(
        view, dissemination::view_scope {}, dissemination::snapshot_cursor {});
    server->outgoing().push(
        streams::stream_frame {first, streams::channel::dissemination,
                               dissemination::encodeControlMessage(dissemination::snapshot_piece {
                                   view.at, view.at, dissemination::digestOf(view),
                                   dissemination::snapshot_cursor {}, only.next, only.part})});
    adopted.wait();
    // On each connection the node announces itself, or leaves, before its first request.
    server->outgoing().push(streams::stream_frame {first, streams::channel::membership, {}});
    while (awaitRequest(events) == first) { }
}

TEST(follower, announcesItselfAndNotifiesControlWhenItLeaves)
{
    base::ring<streams::stream_event> events(eventCapacity);
    const std::unique_ptr<streams::stream_server> server
        = base::takeValue(streams::stream_server::listen(
            base::endpoint {0x7f000001, 0}, {},
            [&events](const streams::stream_event &event) { events.push(event); }));
    const membership::member self = entryNode();
    std::unique_ptr<dissemination::follower> node = std::make_unique<dissemination::follower>(
        std::vector<base::endpoint> {server->local()}, self, 1,
        [](const dissemination::shared_view &) {});
    CHECK(await<membership::member_announced>(events).member == self);
    node.reset();
    const membership::member_left left {self.id(), self.incarnation};
    CHECK(await<membership::member_left>(events) == left);
}
