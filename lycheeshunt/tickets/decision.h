// Decides the outcome of each ticket: one outcome per number, also when it is retried.
//
//     step<ticket_state, ticket_action> next = decide(std::move(state), message);
//
// A ticket is checked when it is submitted, so that its operator gets every error at once, and
// again when the log has committed it, since another may have been committed in between. Only the
// second check decides, and it comes out the same on every control VM.

#pragma once

#include "lycheeshunt/base/step.h"
#include "lycheeshunt/tickets/ticket_message.h"
#include "lycheeshunt/tickets/ticket_state.h"

namespace lycheeshunt::tickets {

base::step<ticket_state, ticket_action> decide(ticket_state state, const ticket_message &message);

} // namespace lycheeshunt::tickets
