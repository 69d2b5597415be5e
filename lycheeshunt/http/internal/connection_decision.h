// Decides which connections of a listener are closed, without sockets.
//
// When there is no room for a new connection, the oldest one without a complete request is closed,
// otherwise the one that has been idle longest. Idle connections that take more than three quarters
// of the room are closed first: otherwise new connections would displace each other before their
// requests arrive. A connection whose request is complete is never closed for another one.
//
//     step<connection_state, connection_action> next = decide(std::move(state), message, now);

#pragma once

#include "lycheeshunt/base/step.h"
#include "lycheeshunt/http/internal/connection_action.h"
#include "lycheeshunt/http/internal/connection_message.h"
#include "lycheeshunt/http/internal/connection_state.h"

namespace lycheeshunt::http::internal {

base::step<connection_state, connection_action>
decide(connection_state state, const connection_message &message, base::clock_time now);

} // namespace lycheeshunt::http::internal
