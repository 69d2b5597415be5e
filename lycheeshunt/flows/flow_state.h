// What one agent knows of flows: those it owns and, as director or backup, who owns the others.

#pragma once

#include "lycheeshunt/base/early_packets.h"
#include "lycheeshunt/dissemination/cluster_view.h"
#include "lycheeshunt/flows/agent_identity.h"
#include "lycheeshunt/flows/directory_entry.h"
#include "lycheeshunt/flows/ended_flow.h"
#include "lycheeshunt/flows/flow_map.h"
#include "lycheeshunt/flows/former_director.h"
#include "lycheeshunt/flows/owned_flow.h"
#include "lycheeshunt/flows/pending_delivery.h"
#include "lycheeshunt/flows/pending_lookup.h"
#include "lycheeshunt/flows/recovery_state.h"
#include "lycheeshunt/flows/registrar_state.h"
#include "lycheeshunt/flows/server_view.h"
#include "lycheeshunt/flows/waiting_requests.h"
#include "lycheeshunt/placement/placement_state.h"
#include "lycheeshunt/routing/bucket_table.h"

#include <deque>
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
    // Directors of this agent's service.
    std::shared_ptr<const routing::bucket_table> buckets;
    // By bucket, the latest last.
    std::map<base::bucket, std::vector<former_director>> formerDirectors;
    // The newest generation that each agent is known to have reached.
    std::map<base::node_id, base::generation> peerGenerations;
    bool draining = false;
    std::size_t maxOwned = 0;
    // From the limits of the service.
    base::clock_time openIdle = tickets::service_limits {}.idleTimeout;

    flow_map<owned_flow> owned;
    // In the order in which they leave.
    std::deque<ended_flow> ended;
    flow_map<directory_entry> directory;
    flow_map<pending_lookup> lookups;
    std::size_t lookupBytes = 0;
    // Of flows that may be anybody's, until there is a view. Only where backend servers return
    // packets.
    base::early_packets<forwarded_packet> earlyPackets;
    registrar_state registrar;
    recovery_state recovery;
    server_view server;
    // Only where backend servers return packets: flows that were handed to the server, or passed
    // on as new, until the server answers.
    flow_map<pending_delivery> pendingDeliveries;
    // Owned flows with a request at the server.
    std::size_t busyFlows = 0;
    // Requests of owned flows for which the server has no slot. Only where backend servers return
    // packets.
    waiting_requests waiting;
    // Only where backend servers return packets.
    std::optional<placement::placement_state> placement;
};

} // namespace lycheeshunt::flows
