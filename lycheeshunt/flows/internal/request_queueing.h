// Limits the requests at the backend server to its slots; further requests are queued at the agent.
// Used only where backend servers return packets.

#pragma once

#include "lycheeshunt/flows/forwarded_packet.h"
#include "lycheeshunt/flows/internal/flow_context.h"

namespace lycheeshunt::flows {
struct owned_flow;
}

namespace lycheeshunt::flows::internal {

// Queues the packet if its request must wait for a slot. Returns true if the packet was queued.
bool queueForSlot(flow_context &context, const owned_flow &flow, const forwarded_packet &packet);

// Delivers queued requests to the server while slots are free.
void deliverQueuedRequests(flow_context &context);

// Drops requests whose callers are silent, and frees the slots of requests that have timed out.
void requestQueueTick(flow_context &context);

} // namespace lycheeshunt::flows::internal
