#pragma once

#include "lycheeshunt/servers/agent_stopping.h"
#include "lycheeshunt/servers/confirm_announcement.h"
#include "lycheeshunt/servers/incarnation_changed.h"
#include "lycheeshunt/servers/reject_announcement.h"
#include "lycheeshunt/servers/server_announced.h"
#include "lycheeshunt/servers/server_restored.h"
#include "lycheeshunt/servers/server_status.h"
#include "lycheeshunt/servers/server_stopping.h"
#include "lycheeshunt/servers/server_warmup.h"
#include "lycheeshunt/servers/servers_tick.h"

#include <variant>

namespace lycheeshunt::servers {

using server_message = std::variant<server_announced, server_stopping, server_restored,
                                    incarnation_changed, agent_stopping, servers_tick>;
using server_action
    = std::variant<confirm_announcement, reject_announcement, server_status, server_warmup>;

} // namespace lycheeshunt::servers
