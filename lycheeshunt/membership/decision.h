// Decides who is a member, from announcements and from silence. Changes are batched: one proposal
// a tick carries all that differs from the log.
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
