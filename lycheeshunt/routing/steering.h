// Decides where an entry sends a caller's packet.

#pragma once

#include "lycheeshunt/flows/packet_stage.h"
#include "lycheeshunt/packets/ip_summary.h"
#include "lycheeshunt/routing/bypassed_agents.h"
#include "lycheeshunt/routing/flow_hints.h"
#include "lycheeshunt/routing/routing_table.h"
#include "lycheeshunt/routing/searched_service.h"

#include <variant>

namespace lycheeshunt::routing {

// Forward the packet to the route's agent, marked with this stage.
struct steer_to
{
    const route destination;
    const flows::packet_stage stage = flows::packet_stage::toDirector;
    // An agent that may have the flow was not queried.
    const bool isDoubtful = false;

    bool operator==(const steer_to &) const = default;
};

// Reset the caller's flow at once: it can't be served, and no backend server has processed any of
// it.
struct refuse_caller
{
    const base::error_code reason;

    bool operator==(const refuse_caller &) const = default;
};

// Drop the packet without a reset, since a reset could end a flow that some agent owns.
struct drop_packet
{
    const base::error_code reason;

    bool operator==(const drop_packet &) const = default;
};

using steering = std::variant<steer_to, refuse_caller, drop_packet>;

steering steer(const routing_table &table, const bypassed_agents &bypassed, flow_hints &hints,
               const packets::ip_summary &packet, base::clock_time now);

// The server beside this owner has answered an opening packet. Of two servers that have answered
// copies of one, the first is the likelier choice of the caller.
void takeOpeningHint(flow_hints &hints, const base::flow_key &key, const flow_hint &hint);

// The server beside this agent does not have the flow.
void withdrawHint(flow_hints &hints, const base::flow_key &key, base::node_id node);

// No agent of `searched.service` has the flow. Steers the packet to the next service that may have
// it; when none is left, refuses the caller, or drops the packet if the search is in doubt.
steering steerToNextService(const routing_table &table, const bypassed_agents &bypassed,
                            flow_hints &hints, const packets::ip_summary &packet,
                            const searched_service &searched);

} // namespace lycheeshunt::routing
