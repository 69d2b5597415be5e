// Decides, at the director of a request's identity, whether it runs, runs again, or gets an outcome
// that is known. A request that isn't idempotent is started at most once: its owner asks first, and
// the start is recorded here and at the backup director before the owner is let go on.
//
//     step<request_state, request_action> next = decide(std::move(state), message, now);
//
// Each arrival of a request gets exactly one reply_to_caller.

#pragma once

#include "lycheeshunt/base/step.h"
#include "lycheeshunt/requests/request_action.h"
#include "lycheeshunt/requests/request_message.h"
#include "lycheeshunt/requests/request_state.h"

namespace lycheeshunt::requests {

// How long an ended request is remembered. A resend may come this long after the outcome.
constexpr base::clock_time retention = base::clock_time::ofSeconds(120);

base::step<request_state, request_action>
decide(request_state state, const request_message &message, base::clock_time now);

} // namespace lycheeshunt::requests
