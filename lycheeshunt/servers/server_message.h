#pragma once

#include "lycheeshunt/servers/agent_stopping.h"
#include "lycheeshunt/servers/confirm_announcement.h"
#include "lycheeshunt/servers/incarnation_changed.h"
#include "lycheeshunt/servers/server_announced.h"
#include "lycheeshunt/servers/server_left.h"
#include "lycheeshunt/servers/server_recalled.h"
#include "lycheeshunt/servers/server_standing.h"
#include "lycheeshunt/servers/servers_tick.h"

#include <variant>

namespace lycheeshunt::servers {

using server_message = std::variant<server_announced, server_left, server_recalled,
                                    incarnation_changed, agent_stopping, servers_tick>;
using server_action = std::variant<confirm_announcement, server_standing>;

} // namespace lycheeshunt::servers
