// The control group's addresses as sent to nodes, and the nodes that wait for a leader's address.
//
// Thread-safe: the replication thread sets it, the stream thread reads it.

#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/dissemination/control_directory.h"
#include "lycheeshunt/streams/stream_frame.h"

#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace lycheeshunt::replication {
struct configuration;
struct leadership;
} // namespace lycheeshunt::replication

namespace lycheeshunt::daemon::internal {

// The messages of each node that waits, in the order received.
using waiting_nodes = std::map<streams::connection_id, std::vector<streams::stream_frame>>;

// Limits what is kept of one node. A node sends its announcement, its window and its request, each
// under 1 KB, and repeats what gets no answer.
constexpr std::size_t maxHeldMessages = 6;
constexpr std::size_t maxHeldBytes = 4096;

class node_directory
{
public:
    void set(const replication::configuration &members, const replication::leadership &leadership);
    // Null until the addresses of all members are known.
    std::shared_ptr<const dissemination::control_directory> current() const;

    // Returns whether the node is to wait here for a leader; if so, it is stored with its message
    // until release().
    bool holdUntilLeader(const streams::stream_frame &frame, base::clock_time uptime);
    // Removes and returns the nodes that wait.
    waiting_nodes release();
    void remove(streams::connection_id connection);

private:
    mutable std::mutex m_lock;
    std::shared_ptr<const dissemination::control_directory> m_current;
    waiting_nodes m_waiting;
};

} // namespace lycheeshunt::daemon::internal
