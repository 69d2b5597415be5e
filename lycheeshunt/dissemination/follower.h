// Keeps one node at the newest generation: announces the node to control, takes views as they
// come, acknowledges them, and hands each newer one to the node's other duties. A view older than
// the one held is discarded, so a node never goes back.
//
//     follower link(control, self, seed, [&](const shared_view &view) { ... });

#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/base/ring.h"
#include "lycheeshunt/dissemination/cluster_view.h"
#include "lycheeshunt/streams/stream_event.h"

#include <functional>
#include <memory>
#include <thread>
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
    ~follower();

    follower(const follower &) = delete;
    follower &operator=(const follower &) = delete;

private:
    void run();
    void announce(streams::connection_id connection);
    void takeView(const streams::stream_frame &frame);

    const membership::member m_self;
    const view_sink m_sink;
    base::ring<streams::stream_event> m_inbox;
    base::generation m_held;
    std::unique_ptr<streams::stream_client> m_client;
    std::thread m_thread;
};

} // namespace lycheeshunt::dissemination
