#pragma once

#include "lycheeshunt/routing/probed_agent.h"

#include <vector>

namespace lycheeshunt::dissemination {
struct cluster_view;
}

namespace lycheeshunt::routing {

class routing_table;

// The agents that the entry's newest routing table may send packets to.
struct agents_changed
{
    const std::vector<probed_agent> agents;

    bool operator==(const agents_changed &) const = default;
};

// Every agent that the table may choose, with the availability zone that it has in the view.
std::vector<probed_agent> probedAgents(const routing_table &table,
                                       const dissemination::cluster_view &view);

} // namespace lycheeshunt::routing
