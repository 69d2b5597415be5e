// Whether a control VM that does not lead keeps a node until it can name the leader, or sends it
// away to look elsewhere.

#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/dissemination/control_directory.h"

namespace lycheeshunt::daemon::internal {

// Where every VM has just started, an election ends within this and nodes need not go round. Later
// a VM without a leader may be cut off, and its nodes must look elsewhere.
constexpr base::clock_time holdNodesFor = base::clock_time::ofMillis(1500);

inline bool holdsNode(const dissemination::control_directory &directory, base::clock_time uptime)
{
    return directory.leader.port == 0 && uptime < holdNodesFor;
}

} // namespace lycheeshunt::daemon::internal
