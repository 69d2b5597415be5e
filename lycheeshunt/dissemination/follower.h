// Keeps one node at the newest generation: announces the node to control, takes deltas and
// snapshots as follower_decision.h says, and hands each newer view to the node's other duties.
//
//     follower link(control, self, seed, [&](const shared_view &view) { ... });

#pragma once

#include "lycheeshunt/base/duty.h"
#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/dissemination/follower_message.h"
#include "lycheeshunt/dissemination/follower_state.h"
#include "lycheeshunt/streams/stream_event.h"

#include <functional>
#include <latch>
#include <memory>
#include <vector>

namespace lycheeshunt::streams {
class stream_client;
}

namespace lycheeshunt::dissemination {

class follower
{
public:
    using view_sink = std::function<void(const shared_view &)>;

    // The sink is called on the follower's thread.
    follower(std::vector<base::endpoint> control, const membership::member &self,
             std::uint64_t seed, view_sink sink);
    // Tells control that the node has left, then closes the stream.
    ~follower();

    follower(const follower &) = delete;
    follower &operator=(const follower &) = delete;

private:
    void leave();
    void handle(const follower_message &message, base::clock_time now);
    void carryOut(const follower_action &action);
    void takeEvent(const streams::stream_event &event);

    follower_state m_state;
    const view_sink m_sink;
    std::unique_ptr<streams::stream_client> m_client;
    // Holds back the client's thread until m_client is set.
    std::latch m_started;
    base::duty<follower_message> m_duty;
};

} // namespace lycheeshunt::dissemination
