// The owner's duty: opening flows, handing callers' packets to the backend server, and seeing
// flows end.

#pragma once

#include "lycheeshunt/flows/forwarded_packet.h"
#include "lycheeshunt/flows/internal/flow_context.h"
#include "lycheeshunt/flows/server_answer.h"

namespace lycheeshunt::flows::internal {

// The one place where a caller's packet goes to the backend server.
void deliverToServer(flow_context &context, const forwarded_packet &packet);

// A packet of a flow that this agent owns.
void handleOwned(flow_context &context, const owned_flow &flow, const forwarded_packet &packet);

// Opens a new flow: here when there is room, else at the second candidate, else the caller is told.
void openFlow(flow_context &context, const forwarded_packet &packet);

// Opens a new flow here, or sends its packet back to the director.
void openOrDecline(flow_context &context, const forwarded_packet &packet);

// Takes over a flow that this agent is said to own but does not know, as after a restart. The
// backend server settles it: it goes on, or resets the caller.
void adoptFlow(flow_context &context, const forwarded_packet &packet);

void handleAnswer(flow_context &context, const server_answer &answer);

// The only ways to change the flows that this agent owns.
void putOwned(flow_state &state, const base::flow_key &key, const owned_flow &flow);
void eraseOwned(flow_state &state, const base::flow_key &key);

// Owns the flow from now on and registers it.
void takeOwnership(flow_context &context, const base::flow_key &key, flow_phase phase);

// Ends flows that were idle too long, lets ended ones go, and repeats registrations.
void ownershipTick(flow_context &context);

} // namespace lycheeshunt::flows::internal
