// Decides, at the director of a request's identity, whether the request runs, is retried, or is
// answered with its recorded outcome. A request that is not idempotent is started at most once: its
// owner asks for permission, which is granted only after the start is recorded here and at the
// backup director.
//
//     step<request_state, request_action> next = decide(std::move(state), message, now);
//
// Each arrival of a request, retransmissions included, leads to exactly one reply_to_caller.

#pragma once

#include "lycheeshunt/base/step.h"
#include "lycheeshunt/requests/request_action.h"
#include "lycheeshunt/requests/request_message.h"
#include "lycheeshunt/requests/request_state.h"

namespace lycheeshunt::requests {

// How long the record of an ended request is kept, to answer retransmissions of the request.
constexpr base::clock_time retention = base::clock_time::ofSeconds(120);

base::step<request_state, request_action>
decide(request_state state, const request_message &message, base::clock_time now);

} // namespace lycheeshunt::requests
