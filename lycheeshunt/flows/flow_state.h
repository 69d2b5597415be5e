// The state of the flow decisions of one agent: the flows that it owns and, as director or backup,
// the owners of others.

#pragma once

#include "lycheeshunt/base/early_packets.h"
#include "lycheeshunt/dissemination/cluster_view.h"
#include "lycheeshunt/flows/agent_identity.h"
#include "lycheeshunt/flows/directory_entry.h"
#include "lycheeshunt/flows/ended_flow.h"
#include "lycheeshunt/flows/flow_map.h"
#include "lycheeshunt/flows/flow_search.h"
#include "lycheeshunt/flows/former_director.h"
#include "lycheeshunt/flows/owned_flow.h"
#include "lycheeshunt/flows/pending_delivery.h"
#include "lycheeshunt/flows/pending_lookup.h"
#include "lycheeshunt/flows/recovery_state.h"
#include "lycheeshunt/flows/registrar_state.h"
#include "lycheeshunt/flows/server_view.h"
#include "lycheeshunt/flows/waiting_requests.h"
#include "lycheeshunt/placement/placement_state.h"
#include "lycheeshunt/placement/server_evidence.h"
#include "lycheeshunt/placement/service_time.h"
#include "lycheeshunt/routing/bucket_table.h"

#include <list>
#include <map>
#include <memory>
#include <vector>

namespace lycheeshunt::flows {

struct flow_state
{
    explicit flow_state(const agent_identity &self)
        : identity(std::make_shared<const agent_identity>(self))
    {
    }

    std::shared_ptr<const agent_identity> identity;
    dissemination::shared_view view;
    // All agents of this agent's service in the view, itself among them, by identifier.
    std::vector<routing::target> agents;
    // The director and the backup of each bucket of this agent's service.
    std::shared_ptr<const routing::bucket_table> buckets;
    // For each bucket, the most recent one last.
    std::map<base::bucket, std::vector<former_director>> formerDirectors;
    // The latest generation that each agent is known to have reached.
    std::map<base::node_id, base::generation> peerGenerations;
    bool draining = false;
    // Whether the agent's zone is evacuated; it is draining then, too.
    bool isEvacuated = false;
    std::size_t maxOwned = 0;
    // From the limits of the service.
    base::clock_time openIdleTimeout = tickets::service_limits {}.idleTimeout;

    flow_map<owned_flow> owned;
    // In the order of removal.
    std::list<ended_flow> ended;
    flow_map<directory_entry> directory;
    flow_map<pending_lookup> lookups;
    // Only where backend servers return packets.
    flow_map<flow_search> searches;
    std::size_t lookupBytes = 0;
    // Packets of flows that this agent does not own, buffered until the first view arrives. Only
    // where backend servers return packets.
    base::early_packets<forwarded_packet> earlyPackets;
    registrar_state registrar;
    recovery_state recovery;
    server_view server;
    // How long the server takes for a request, for load reports.
    placement::service_time serviceTime;
    // How recent requests ended at the backend server.
    placement::server_evidence outcomes;
    // Packets that were delivered to the backend server, or offered to another agent as the first
    // of a flow, and are not answered yet. Only where backend servers return packets.
    flow_map<pending_delivery> pendingDeliveries;
    // Owned flows with a request in flight that holds a slot of the backend server.
    std::size_t busyFlows = 0;
    // Owned flows with an upload in transfer, which holds none.
    std::size_t transfers = 0;
    // Requests of owned flows that wait for a free slot of the backend server. Only where backend
    // servers return packets.
    waiting_requests waiting;
    // Only where backend servers return packets.
    std::optional<placement::placement_state> placement;
};

} // namespace lycheeshunt::flows
