// Gives the backend server no more requests than it has slots for; the others wait here. Only where
// backend servers return packets.

#pragma once

#include "lycheeshunt/flows/forwarded_packet.h"
#include "lycheeshunt/flows/internal/flow_context.h"

namespace lycheeshunt::flows {
struct owned_flow;
}

namespace lycheeshunt::flows::internal {

// Whether the packet of this flow waits here now.
bool queueForSlot(flow_context &context, const owned_flow &flow, const forwarded_packet &packet);

// Hands over what waits, as far as slots are free.
void deliverQueuedRequests(flow_context &context);

// Frees slots that no answer will free any more.
void requestQueueTick(flow_context &context);

} // namespace lycheeshunt::flows::internal
