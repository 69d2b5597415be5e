// Decides how a node takes views: deltas onto what it holds, snapshots where that is too old or has
// another digest. It never goes back to an older generation.
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
