#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/base/flow_key.h"
#include "lycheeshunt/base/identifiers.h"

#include <map>
#include <optional>

namespace lycheeshunt::flows {

// The progress of a starting agent in recovering its flows from the other agents of its service.
struct recovery_state
{
    std::optional<base::clock_time> startedAt;
    base::clock_time nextRetryAt;
    // For each agent whose pages are not complete yet: the last key received from it.
    std::map<base::node_id, base::flow_key> pendingRequests;
};

} // namespace lycheeshunt::flows
