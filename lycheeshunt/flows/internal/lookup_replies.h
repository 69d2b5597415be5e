// Answers the queries of other agents for the owner of a flow.

#pragma once

#include "lycheeshunt/flows/flow_lookup.h"
#include "lycheeshunt/flows/internal/flow_context.h"

namespace lycheeshunt::flows::internal {

// Sends no answer while this agent is recovering flows that it may own; the asker repeats the
// query.
void handleLookup(flow_context &context, const flow_lookup &lookup);

} // namespace lycheeshunt::flows::internal
