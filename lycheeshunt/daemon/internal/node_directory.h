// The control group's addresses as sent to nodes, and the nodes that wait for a leader's address.
//
// Thread-safe: the replication thread sets it, the stream thread reads it.

#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/dissemination/control_directory.h"
#include "lycheeshunt/streams/connection_id.h"

#include <memory>
#include <mutex>
#include <set>
#include <vector>

namespace lycheeshunt::replication {
struct configuration;
struct leadership;
} // namespace lycheeshunt::replication

namespace lycheeshunt::daemon::internal {

class node_directory
{
public:
    void set(const replication::configuration &members, const replication::leadership &leadership);
    // Null until the addresses of all members are known.
    std::shared_ptr<const dissemination::control_directory> current() const;

    // Returns whether the node is to wait here for a leader; if so, it is stored until release().
    bool holdUntilLeader(streams::connection_id connection, base::clock_time uptime);
    // Removes and returns the nodes that wait.
    std::set<streams::connection_id> release();
    void forget(streams::connection_id connection);

private:
    mutable std::mutex m_lock;
    std::shared_ptr<const dissemination::control_directory> m_current;
    std::set<streams::connection_id> m_waiting;
};

} // namespace lycheeshunt::daemon::internal
