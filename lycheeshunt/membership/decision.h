// Decides which nodes are members, from their announcements and from expired leases. Changes are
// batched: at most one proposal per tick carries everything that differs from the log.
//
//     step<membership_state, membership_action> next = decide(std::move(state), message, now);

#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/base/step.h"
#include "lycheeshunt/membership/membership_message.h"
#include "lycheeshunt/membership/membership_state.h"

namespace lycheeshunt::membership {

base::step<membership_state, membership_action>
decide(membership_state state, const membership_message &message, base::clock_time now);

} // namespace lycheeshunt::membership
