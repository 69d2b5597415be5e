// What becomes of a caller's packet.

#pragma once

#include "lycheeshunt/flows/forwarded_packet.h"
#include "lycheeshunt/flows/internal/flow_context.h"

namespace lycheeshunt::flows::internal {

void handlePacket(flow_context &context, const forwarded_packet &packet);

// Another agent takes this one for the owner of the packet's flow.
void handlePacketAsOwner(flow_context &context, const forwarded_packet &packet);

} // namespace lycheeshunt::flows::internal
