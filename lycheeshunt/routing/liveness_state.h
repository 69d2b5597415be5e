#pragma once

#include "lycheeshunt/routing/agent_liveness.h"
#include "lycheeshunt/routing/bypassed_agents.h"

#include <map>

namespace lycheeshunt::routing {

// The probe state of one entry: one row for each agent, and nothing for flows.
struct liveness_state
{
    std::map<base::node_id, agent_liveness> agents;
    // The agent probed last; probing continues with the one after it.
    base::node_id cursor;
    std::uint64_t lastNumber = 0;
    // For each availability zone, the agents that have missed a probe for the first time since an
    // agent of the zone last answered.
    std::map<std::string, std::size_t> silentByZone;
    bypassed_agents bypassed;

    bool operator==(const liveness_state &) const = default;
};

} // namespace lycheeshunt::routing
