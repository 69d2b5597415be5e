// Where an opening packet goes when backend servers return packets: to the agent that has
// registered its flow, or to an agent that placement chooses.

#pragma once

#include "lycheeshunt/flows/forwarded_packet.h"
#include "lycheeshunt/flows/internal/flow_context.h"

namespace lycheeshunt::flows::internal {

// Handles an opening packet of a flow that this agent does not own.
void handleOpening(flow_context &context, const forwarded_packet &packet);

// Offers the flow to another agent if this one got a hedged copy of an opening packet that its own
// server has not answered. Returns false if the packet is no such copy or no other agent has room.
bool offerHedgedElsewhere(flow_context &context, const forwarded_packet &packet);

// Offers the flow to the agents other than this one and those already tried. If the packet is late,
// the flow may be open by now.
void offerToOtherAgents(flow_context &context, const forwarded_packet &packet, bool isLate);

} // namespace lycheeshunt::flows::internal
