// Applies a newer view.

#pragma once

#include "lycheeshunt/flows/internal/flow_context.h"
#include "lycheeshunt/flows/view_update.h"

namespace lycheeshunt::flows::internal {

// Ignores a view that is not newer than the current one.
void handleView(flow_context &context, const view_update &update);

// Records that a message of the agent shows that it has reached this generation.
void recordPeerGeneration(flow_state &state, base::node_id node, base::generation at);

} // namespace lycheeshunt::flows::internal
