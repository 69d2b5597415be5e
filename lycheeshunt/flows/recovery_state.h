#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/base/flow_key.h"
#include "lycheeshunt/base/identifiers.h"

#include <map>
#include <optional>

namespace lycheeshunt::flows {

// Where a starting agent is in getting its flows back from the other agents of its service.
struct recovery_state
{
    std::optional<base::clock_time> startedAt;
    base::clock_time askAgainAt;
    // For each agent that still has flows to tell: the last key it told.
    std::map<base::node_id, base::flow_key> asking;
};

} // namespace lycheeshunt::flows
