// Choosing the agent that a new flow is opened at, by the load that agents tell each other.

#pragma once

#include "lycheeshunt/flows/flow_event.h"
#include "lycheeshunt/flows/internal/flow_context.h"
#include "lycheeshunt/placement/load_report.h"

namespace lycheeshunt::flows::internal {

// Adds what was decided to the log.
void recordEvent(flow_context &context, flow_event_kind kind, const forwarded_packet &packet,
                 base::node_id other = {}, std::optional<base::error_code> reason = std::nullopt);
// Resets the caller, with a line in the log.
void refuseCaller(flow_context &context, const forwarded_packet &packet, base::error_code reason);

// Whether the backend server may get a new flow now.
bool canAcceptFlow(const flow_state &state, base::clock_time now);

// Opens the flow here, offers it to another agent, or tells its caller that nobody takes it. The
// agents that the packet lists are left out.
void placeFlow(flow_context &context, const forwarded_packet &packet);

// Starts over with this agent's present identity.
void startPlacement(flow_context &context);
// Takes up the agents of the current view.
void updatePlacementPeers(flow_context &context);
void handleLoadReport(flow_context &context, const placement::load_report &report);
// Tells the others when what this agent counts has changed.
void publishOwnLoad(flow_context &context);
void placementTick(flow_context &context);

} // namespace lycheeshunt::flows::internal
