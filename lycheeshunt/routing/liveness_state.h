#pragma once

#include "lycheeshunt/routing/agent_liveness.h"
#include "lycheeshunt/routing/bypassed_agents.h"

#include <map>

namespace lycheeshunt::routing {

// One row an agent, none for a flow.
struct liveness_state
{
    std::map<base::node_id, agent_liveness> agents;
    // The agent probed last; the next one in order is probed next.
    base::node_id cursor;
    std::uint64_t lastNumber = 0;
    bypassed_agents bypassed;

    bool operator==(const liveness_state &) const = default;
};

} // namespace lycheeshunt::routing
