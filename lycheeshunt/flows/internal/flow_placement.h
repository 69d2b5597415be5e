// Chooses the agent at which a new flow is opened, by the load reports that agents exchange.

#pragma once

#include "lycheeshunt/flows/flow_event.h"
#include "lycheeshunt/flows/internal/flow_context.h"
#include "lycheeshunt/placement/load_report.h"

namespace lycheeshunt::flows::internal {

// Adds a decision about the packet's flow to the log; `agents` as in flow_event.
void recordEvent(flow_context &context, flow_event_kind kind, const forwarded_packet &packet,
                 base::node_id other = {}, std::optional<base::error_code> reason = std::nullopt,
                 std::size_t agents = 0);
// Resets the caller and logs the reason.
void refuseCaller(flow_context &context, const forwarded_packet &packet, base::error_code reason);

// Returns true if the backend server may get a new flow now.
bool canAcceptFlow(const flow_state &state, base::clock_time now);

// Returns true if this agent or another one that was not tried has room for a new flow, by the load
// reports.
bool hasRoomBesides(flow_context &context, const std::vector<base::node_id> &tried);

// Opens the flow here, offers it to another agent, or resets the caller if no agent accepts the
// flow. Agents that the packet lists are not offered the flow.
void placeFlow(flow_context &context, const forwarded_packet &packet);

// Creates the placement state anew for this agent's current identity.
void startPlacement(flow_context &context);
// Passes the agents of the current view to placement.
void updatePlacementPeers(flow_context &context);
void handleLoadReport(flow_context &context, const placement::load_report &report);
// Passes this agent's load to placement if it has changed; placement reports it to the other
// agents.
void publishOwnLoad(flow_context &context);
void placementTick(flow_context &context);

} // namespace lycheeshunt::flows::internal
