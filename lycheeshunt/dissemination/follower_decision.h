// Decides how a node follows control's view: it applies deltas to its view, or replaces the view by
// a snapshot if it is too old or its digest differs. It never goes back to an older generation.
//
//     step<follower_state, follower_action> next = decide(std::move(state), message, now);

#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/base/step.h"
#include "lycheeshunt/dissemination/follower_message.h"
#include "lycheeshunt/dissemination/follower_state.h"

namespace lycheeshunt::dissemination {

base::step<follower_state, follower_action>
decide(follower_state state, const follower_message &message, base::clock_time now);

} // namespace lycheeshunt::dissemination
