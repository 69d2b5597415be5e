// Finds the owner of a flow that this agent does not know. The packets of the flow are buffered,
// within bounds, while other agents are queried; then they are forwarded to the owner, or their
// caller is reset.

#pragma once

#include "lycheeshunt/flows/internal/flow_context.h"
#include "lycheeshunt/flows/lookup_answer.h"

namespace lycheeshunt::flows::internal {

// Buffers the packet while these agents are queried. With an empty list, queries the agents that
// most likely have the owner in their directories. A lookup of the flow that is under way
// continues.
void startLookup(flow_context &context, const forwarded_packet &packet, lookup_purpose purpose,
                 const std::vector<base::node_id> &firstQueried);

// Buffers a further packet of a flow that is being looked up. Beyond the bounds the packet is
// refused.
void addToLookup(flow_context &context, const pending_lookup &pending,
                 const forwarded_packet &packet);

void handleLookupAnswer(flow_context &context, const lookup_answer &answer);

// Retries queries that were not answered, and ends lookups whose deadline has passed.
void lookupTick(flow_context &context);

} // namespace lycheeshunt::flows::internal
