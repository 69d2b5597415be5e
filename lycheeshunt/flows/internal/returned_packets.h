// Packet path for backend servers that return packets of flows that they do not hold. Delivering a
// packet to the wrong server is harmless, so agents need not agree on a flow's owner before it
// opens, and a restarted agent finds its flows by delivering their packets.

#pragma once

#include "lycheeshunt/flows/internal/flow_context.h"
#include "lycheeshunt/flows/server_answer.h"
#include "lycheeshunt/flows/server_changed.h"

namespace lycheeshunt::flows::internal {

// A server that left an opening packet unanswered gets no new flows for this long, and then a
// single one as a probe.
constexpr base::clock_time silentServerBackoff = base::clock_time::ofMillis(1000);

void handleReturnablePacket(flow_context &context, const forwarded_packet &packet);

// Handles what the server sends: answers to callers, and packets that it returns.
void handleServerPacket(flow_context &context, const server_answer &answer);

void handleServerChange(flow_context &context, const server_changed &changed);

// Opens the flow at this agent. The server returns the packet if it cannot accept the flow.
void openTentatively(flow_context &context, const forwarded_packet &packet);

// Offers the flow to the agents other than this one and those already tried. If the packet is late,
// the flow may be open by now.
void offerToOtherAgents(flow_context &context, const forwarded_packet &packet, bool isLate);

// Assumes that the flow belongs to this agent's server, which returns the packet if it does not.
void adoptTentatively(flow_context &context, const forwarded_packet &packet);

// Tells the entry that this agent has the flow of the packet.
// The hint of an opening packet leaves the choice to the caller.
void sendHint(flow_context &context, const forwarded_packet &packet);

// Handles the packets that arrived before the first view.
void handleEarlyPackets(flow_context &context);

} // namespace lycheeshunt::flows::internal
