#include "lycheeshunt/routing/agents_changed.h"

#include "lycheeshunt/dissemination/cluster_view.h"
#include "lycheeshunt/routing/routing_table.h"

namespace lycheeshunt::routing {

std::vector<probed_agent> probedAgents(const routing_table &table,
                                       const dissemination::cluster_view &view)
{
    std::vector<probed_agent> agents;
    for (const target &each : table.targets()) {
        const auto found = view.members.find(each.node);
        agents.push_back(
            probed_agent {each, found == view.members.end() ? "" : found->second.availabilityZone});
    }
    return agents;
}

} // namespace lycheeshunt::routing
