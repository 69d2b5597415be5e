// Decides which agent becomes the owner of a new flow or request. The director offers it to the
// best agent by its load reports. That agent compares this choice with its own current load, and
// accepts the flow or forwards the offer. Load reports determine only the order of the offers, so a
// wrong report costs a hop.
//
//     step<placement_state, placement_action> next = decide(std::move(state), message, now);

#pragma once

#include "lycheeshunt/base/step.h"
#include "lycheeshunt/placement/placement_action.h"
#include "lycheeshunt/placement/placement_message.h"
#include "lycheeshunt/placement/placement_state.h"

namespace lycheeshunt::placement {

base::step<placement_state, placement_action>
decide(placement_state state, const placement_message &message, base::clock_time now);

// Whether an agent that is not among those tried would be offered the flow, or this agent would
// accept it.
bool hasCandidate(const placement_state &state, const flow_offered &offer, base::clock_time now);

} // namespace lycheeshunt::placement
