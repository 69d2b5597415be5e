// When an agent reports its load to its peers, within the budget for reports, and when it requests
// queued work from them.

#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/placement/placement_action.h"
#include "lycheeshunt/placement/placement_state.h"
#include "lycheeshunt/placement/work_requested.h"

#include <vector>

namespace lycheeshunt::placement {

using action_list = std::vector<placement_action>;

// Sends a round of reports if the load has changed or a heartbeat is due, and if the budget covers
// the complete round.
void sendReports(placement_state &state, base::clock_time now, action_list &actions);

// Requests work from the agent with the longest queue if this agent has a free slot.
void requestWork(placement_state &state, base::clock_time now, action_list &actions);

// Releases queued work to a peer that has requested it.
void releaseWork(const placement_state &state, const work_requested &request, action_list &actions);

} // namespace lycheeshunt::placement
