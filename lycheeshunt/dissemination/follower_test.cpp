// The follower's thread against a stream server: what control hears of a node's start and stop.

#include "lycheeshunt/dissemination/follower.h"

#include "lycheeshunt/dissemination/cluster_view.h"
#include "lycheeshunt/dissemination/follower_decision.h"

#include "lycheeshunt/membership/codec.h"
#include "lycheeshunt/streams/stream_server.h"

#include <CppUTest/TestHarness.h>

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

// The next message of the wanted kind on the membership channel.
template <typename wanted>
wanted await(base::ring<streams::stream_event> &events)
{
    while (true) {
        const std::optional<streams::stream_event> event = events.pop();
        const streams::stream_frame *frame = std::get_if<streams::stream_frame>(&*event);
        if (frame == nullptr || frame->channel != streams::channel::membership)
            continue;
        const base::result<membership::member_frame> message
            = membership::decodeFrame(frame->bytes);
        if (const wanted *found = std::get_if<wanted>(&base::valueOf(message)))
            return *found;
    }
}

} // namespace

TEST_GROUP(follower) {};

// A node that holds nothing any more leaves while it runs, and says so until control has heard, so
// that nobody waits for its answers.
TEST(follower, aNodeThatIsNoMemberAnyMoreLeavesUntilControlHasHeard)
{
    const membership::member self = entryNode();
    const base::clock_time start = base::clock_time::ofSeconds(10);
    dissemination::follower_state state = dissemination::followerOf(self);
    std::size_t leaves = 0;
    const auto give = [&](const dissemination::follower_message &message, base::clock_time now) {
        base::step<dissemination::follower_state, dissemination::follower_action> next
            = dissemination::decide(std::move(state), message, now);
        state = std::move(next.state);
        for (const dissemination::follower_action &action : next.actions)
            leaves += std::holds_alternative<dissemination::leave_group>(action) ? 1 : 0;
    };
    const auto hold = [&](bool isMember) {
        std::map<base::node_id, membership::member> members;
        if (isMember)
            members.emplace(self.id(), self);
        state.held = std::make_shared<const dissemination::cluster_view>(
            dissemination::cluster_view {base::generation(1), {}, members});
    };
    hold(true);
    give(dissemination::link_opened {streams::connection_id(1)}, start);
    LONGS_EQUAL(0, leaves);
    give(dissemination::self_changed {self, false}, start);
    LONGS_EQUAL(1, leaves);
    give(dissemination::follower_tick {}, start + base::clock_time::ofSeconds(2));
    LONGS_EQUAL(2, leaves);
    hold(false);
    give(dissemination::follower_tick {}, start + base::clock_time::ofSeconds(4));
    LONGS_EQUAL(2, leaves);
}

// An agent that starts beside a server that serves has not been announced yet; its record is that
// of its last incarnation.
TEST(follower, aNodeThatHasNotBeenAnnouncedYetDoesNotLeave)
{
    const membership::member self = entryNode();
    dissemination::follower_state state = dissemination::followerOf(self);
    state.isAnnounced = false;
    std::map<base::node_id, membership::member> members;
    members.emplace(self.id(), self);
    state.held = std::make_shared<const dissemination::cluster_view>(
        dissemination::cluster_view {base::generation(1), {}, members});
    const base::clock_time now = base::clock_time::ofSeconds(10);
    const base::step<dissemination::follower_state, dissemination::follower_action> next
        = dissemination::decide(std::move(state),
                                dissemination::link_opened {streams::connection_id(1)}, now);
    for (const dissemination::follower_action &action : next.actions)
        CHECK_FALSE(std::holds_alternative<dissemination::leave_group>(action));
}

TEST(follower, announcesItselfAndSaysWhenItLeaves)
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
