// Chooses the agents of a service that may direct flows.

#pragma once

#include "lycheeshunt/dissemination/cluster_view.h"
#include "lycheeshunt/routing/target.h"

#include <unordered_map>
#include <vector>

namespace lycheeshunt::routing::internal {

// Agents of each service, ordered as in the view. The pointers are valid as long as the view.
std::unordered_map<base::service_id, std::vector<const membership::member *>>
agentsByService(const dissemination::cluster_view &view);

// `agents` are all agents of one service.
std::vector<target> chooseDirectors(const dissemination::cluster_view &view,
                                    const std::vector<const membership::member *> &agents);

} // namespace lycheeshunt::routing::internal
