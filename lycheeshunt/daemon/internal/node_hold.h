// Decides whether a control VM that does not lead holds a node's connection until the leader is
// known, or redirects the node at once.

#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/dissemination/control_directory.h"

namespace lycheeshunt::daemon::internal {

// When all VMs have just started, an election ends within this time, and nodes need not try one
// control VM after another. Later, a VM without a leader may be partitioned from the others, and
// its nodes must try other VMs.
constexpr base::clock_time nodeHoldTime = base::clock_time::ofMillis(1500);

inline bool shouldHoldNode(const dissemination::control_directory &directory,
                           base::clock_time uptime)
{
    return directory.leader.port == 0 && uptime < nodeHoldTime;
}

} // namespace lycheeshunt::daemon::internal
