// Decides where a caller's packet goes next, where backend servers do not return packets.

#pragma once

#include "lycheeshunt/flows/forwarded_packet.h"
#include "lycheeshunt/flows/internal/flow_context.h"

namespace lycheeshunt::flows::internal {

void handlePacket(flow_context &context, const forwarded_packet &packet);

// Handles a packet whose sender regards this agent as the owner of the flow.
void handlePacketAsOwner(flow_context &context, const forwarded_packet &packet);

} // namespace lycheeshunt::flows::internal
