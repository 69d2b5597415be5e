// The order in which servers are preferred for a new flow.

#pragma once

#include "lycheeshunt/placement/server_load.h"

namespace lycheeshunt::placement {

// Cost of placing a flow at a server with this load; lower is better. For a full server it is the
// expected time to the answer, in the usual time of the service for a request; a free slot costs
// less by the share of slots that are free. With a slowness of 1, it is below 1 for a free slot.
double costOf(const server_load &load, double forwardedSinceReport, double slowness = 1);

// Whether a further request would wait for a slot.
bool isFull(const server_load &load, double forwardedSinceReport);

// Whether new flows may be placed at the server.
bool acceptsFlows(const server_load &load);

} // namespace lycheeshunt::placement
