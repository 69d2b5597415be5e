// Decides which incarnation of its backend server an agent serves, and whether that server accepts
// new flows.
//
//     step<servers_state, server_action> next = decide(std::move(state), message, now);

#pragma once

#include "lycheeshunt/base/step.h"
#include "lycheeshunt/servers/server_message.h"
#include "lycheeshunt/servers/servers_state.h"

namespace lycheeshunt::servers {

base::step<servers_state, server_action> decide(servers_state state, const server_message &message,
                                                base::clock_time now);

} // namespace lycheeshunt::servers
