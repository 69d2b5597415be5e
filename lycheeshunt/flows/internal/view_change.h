// Taking up a newer view.

#pragma once

#include "lycheeshunt/flows/internal/flow_context.h"
#include "lycheeshunt/flows/view_update.h"

namespace lycheeshunt::flows::internal {

// An older view than the current one changes nothing.
void handleView(flow_context &context, const view_update &update);

// The agent has been heard to have reached this generation.
void recordPeerGeneration(flow_state &state, base::node_id node, base::generation at);

} // namespace lycheeshunt::flows::internal
