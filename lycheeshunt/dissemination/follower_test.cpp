// The follower's thread against a stream server: what control hears of a node's start and stop.

#include "lycheeshunt/dissemination/follower.h"

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

// A node that drains mostly comes back to what it holds, and stays a member; one with nothing left
// to hold leaves, so that nobody waits for its answers.
TEST(follower, aDrainingNodeThatHoldsNothingLeaves)
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
    await<membership::member_announced>(events);
    const membership::member draining {self.name,
                                       self.availabilityZone,
                                       self.role,
                                       self.service,
                                       self.life,
                                       self.packets,
                                       membership::member_phase::draining};
    node->changeSelf(dissemination::self_changed {draining, true, false});
    CHECK(await<membership::member_announced>(events).member == draining);
    node.reset();
    CHECK(await<membership::member_left>(events).life == self.life);
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
    const membership::member_left left {self.id(), self.life};
    CHECK(await<membership::member_left>(events) == left);
}
