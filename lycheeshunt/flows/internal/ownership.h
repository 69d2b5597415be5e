// The owner's part: opens flows, delivers callers' packets to the backend server, and ends flows.

#pragma once

#include "lycheeshunt/flows/forwarded_packet.h"
#include "lycheeshunt/flows/internal/flow_context.h"
#include "lycheeshunt/flows/server_answer.h"

namespace lycheeshunt::flows::internal {

// All packets for the backend server go through this function.
void deliverToServer(flow_context &context, const forwarded_packet &packet);

// Handles a packet of a flow that this agent owns.
void handleOwned(flow_context &context, const owned_flow &flow, const forwarded_packet &packet);

// Opens a new flow: here when the limits allow it, otherwise at the backup of its bucket. When
// neither can take it, resets the caller.
void openFlow(flow_context &context, const forwarded_packet &packet);

// Opens a new flow here when the limits allow it, otherwise sends its packet back to the director.
void openOrDecline(flow_context &context, const forwarded_packet &packet);

// Takes over a flow of which this agent may be the owner without knowing it, as after a restart.
// The backend server then continues the connection or resets the caller.
void adoptFlow(flow_context &context, const forwarded_packet &packet);

void handleAnswer(flow_context &context, const server_answer &answer);

// The only ways to change the flows that this agent owns.
void putOwned(flow_state &state, const base::flow_key &key, const owned_flow &flow);
void eraseOwned(flow_state &state, const base::flow_key &key);

// Makes this agent the owner of the flow and registers it with the director.
void takeOwnership(flow_context &context, const base::flow_key &key, flow_phase phase);

// Starts to deliver the packets of a flow to a backend server that may return them. The flow is
// neither registered nor named to other agents until it is claimed.
void tryFlow(flow_context &context, const base::flow_key &key);

// The backend server has a flow that was tried at it: registers the flow with the director.
void claimFlow(flow_context &context, const base::flow_key &key);

// Ends idle flows, removes ended ones after their retention time, and refreshes registrations.
void ownershipTick(flow_context &context);

} // namespace lycheeshunt::flows::internal
