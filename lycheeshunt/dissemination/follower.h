// Keeps one node at the newest generation: announces the node to control, applies deltas and
// snapshots (follower_decision.h), and publishes each newer view to the node's other duties.
//
//     follower link(control, self, seed, [&](const shared_view &view) { ... });

#pragma once

#include "lycheeshunt/base/duty.h"
#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/dissemination/follower_message.h"
#include "lycheeshunt/dissemination/follower_state.h"
#include "lycheeshunt/streams/stream_event.h"

#include <atomic>
#include <functional>
#include <latch>
#include <memory>
#include <mutex>
#include <vector>

namespace lycheeshunt::streams {
class stream_client;
}

namespace lycheeshunt::dissemination {

class follower
{
public:
    using view_sink = std::function<void(const shared_view &)>;

    using incarnation_sink = std::function<void(base::incarnation)>;

    // The sinks are called on the follower's thread. Unless `isAnnounced`, the node receives views
    // without being a member, until changeSelf() announces it.
    follower(std::vector<base::endpoint> control, const membership::member &self,
             std::uint64_t seed, view_sink sink, incarnation_sink incarnationSink = {},
             bool isAnnounced = true);
    // Sends member_left to control, unless the node is draining, then closes the stream.
    ~follower();

    follower(const follower &) = delete;
    follower &operator=(const follower &) = delete;

    // Thread-safe.
    void changeSelf(const self_changed &changed) { m_duty.inbox().push(changed); }
    // Also searches for control at these addresses. They replace the earlier seeds.
    void addSeeds(const std::vector<base::endpoint> &seeds);
    bool isConnected() const { return m_isConnected; }

private:
    void sendLeave();
    void useServers(std::vector<base::endpoint> servers, bool isLeaderFirst);
    void handle(const follower_message &message, base::clock_time now);
    void carryOut(const follower_action &action);
    void handleEvent(const streams::stream_event &event);

    follower_state m_state;
    std::mutex m_seedsLock;
    std::vector<base::endpoint> m_seeds;
    std::vector<base::endpoint> m_directoryServers;
    const view_sink m_sink;
    const incarnation_sink m_incarnationSink;
    std::atomic<bool> m_isConnected = false;
    std::unique_ptr<streams::stream_client> m_client;
    // Blocks the client's thread until m_client is set.
    std::latch m_started;
    base::duty<follower_message> m_duty;
};

} // namespace lycheeshunt::dissemination
