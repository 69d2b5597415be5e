#pragma once

#include "lycheeshunt/routing/agent_unreachable.h"
#include "lycheeshunt/routing/agents_changed.h"
#include "lycheeshunt/routing/liveness_tick.h"
#include "lycheeshunt/routing/probe_answered.h"
#include "lycheeshunt/routing/send_probe.h"
#include "lycheeshunt/routing/set_bypass.h"

#include <variant>

namespace lycheeshunt::routing {

using liveness_message
    = std::variant<agents_changed, probe_answered, agent_unreachable, liveness_tick>;
using liveness_action = std::variant<send_probe, set_bypass>;

} // namespace lycheeshunt::routing
