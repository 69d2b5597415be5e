// Finding the owner of a flow that this agent does not know: its packets are held, within bounds,
// while other agents are asked; then they go to the owner, or their caller is reset.

#pragma once

#include "lycheeshunt/flows/flow_lookup.h"
#include "lycheeshunt/flows/internal/flow_context.h"
#include "lycheeshunt/flows/lookup_answer.h"

namespace lycheeshunt::flows::internal {

// Holds the packet while these agents are asked. An empty list asks the next ones that may know.
void startLookup(flow_context &context, const forwarded_packet &packet, lookup_purpose purpose,
                 const std::vector<base::node_id> &firstAsked);

// Adds a packet to those of its flow that are held already; drops it, counted, beyond the bounds.
void addToLookup(flow_context &context, const pending_lookup &held, const forwarded_packet &packet);

void handleLookup(flow_context &context, const flow_lookup &lookup);
void handleLookupAnswer(flow_context &context, const lookup_answer &answer);

// Asks again, and ends holds whose time is up.
void lookupTick(flow_context &context);

} // namespace lycheeshunt::flows::internal
