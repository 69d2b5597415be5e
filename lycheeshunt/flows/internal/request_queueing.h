// Limits the requests at the backend server to its slots; further requests are queued at the agent.
// An upload holds no slot while its caller sends it, since it arrives over narrow links far longer
// than the server works on it; the number of such uploads has a limit of its own.
// Used only where backend servers return packets.

#pragma once

#include "lycheeshunt/flows/forwarded_packet.h"
#include "lycheeshunt/flows/internal/flow_context.h"

namespace lycheeshunt::flows {
struct owned_flow;
}

namespace lycheeshunt::flows::internal {

// Queues the packet if its request must wait for a slot. Returns true if the packet was queued, or
// dropped because the queue is full of requests of higher priority.
bool queueForSlot(flow_context &context, const owned_flow &flow, const forwarded_packet &packet);

// Delivers queued requests to the server while slots are free.
void deliverQueuedRequests(flow_context &context);

// Drops requests whose callers are silent, frees the slots of requests that have timed out, and
// counts uploads whose callers have paused as requests that hold a slot.
void requestQueueTick(flow_context &context);

} // namespace lycheeshunt::flows::internal
