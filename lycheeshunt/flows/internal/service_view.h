// Queries on the current view that concern this agent's service.

#pragma once

#include "lycheeshunt/flows/flow_state.h"

#include <optional>
#include <vector>

namespace lycheeshunt::flows::internal {

inline bool isSelf(const flow_state &state, base::node_id node)
{
    return node == state.identity->node;
}

routing::target selfTarget(const flow_state &state);

// The generation of the current view; 0 before the first view.
base::generation currentGeneration(const flow_state &state);

// Whether callers reach this agent's service at the flow's address.
bool servesAddress(const flow_state &state, const base::flow_key &key);

// Whether this agent's view is later than the one by which the packet of a flow was sent here: its
// sender may not know every service that may have the flow.
bool isAheadOf(const flow_state &state, const forwarded_packet &packet);

// Address and incarnation of an agent of this service, draining or not; empty for any other node.
std::optional<routing::target> targetOf(const flow_state &state, base::node_id node);

// Null while the view contains no agent of this service.
const routing::target *directorOf(const flow_state &state, const base::flow_key &key);
const routing::target *backupOf(const flow_state &state, const base::flow_key &key);

// All agents of the service in this view, by identifier.
std::vector<routing::target> agentsOf(const dissemination::cluster_view &view,
                                      base::service_id service);

// The other agents of this service.
std::vector<routing::target> otherAgents(const flow_state &state);

// The other agents of this service, those next to the flow's director in the order of identifiers
// first: flows are offered to an agent's neighbours.
std::vector<base::node_id> agentsNearDirector(const flow_state &state, const base::flow_key &key);

// Other agents that may have opened flows of the bucket, the most recent director first.
std::vector<base::node_id> formerDirectorsOf(const flow_state &state, const base::flow_key &key);

// Those of them that are not known to have reached the generation in which their role as director
// ended.
std::vector<base::node_id> unsettledDirectorsOf(const flow_state &state, const base::flow_key &key);

} // namespace lycheeshunt::flows::internal
