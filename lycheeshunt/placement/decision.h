// Decides which agent becomes the owner of a new flow or request. The director picks the best of
// those it knows; the one it picks checks this against what it counts itself, and takes the flow or
// passes it on. Load reports between agents only order the offers: a wrong one costs a hop.
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

// Lower is better. Below 1 the server has a free slot.
double costOf(const server_load &load, double forwardedSinceReport);

} // namespace lycheeshunt::placement
