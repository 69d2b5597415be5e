// The searches of this agent for flows that no agent knows. They bound how often the packets of a
// flow reach servers that do not have it: no server gets two of them, and none gets one later than
// maxTrialPeriod after the first.

#pragma once

#include "lycheeshunt/flows/internal/flow_context.h"

#include <vector>

namespace lycheeshunt::flows::internal {

// Callers whose packets reach other servers for longer than this count the flow as broken.
constexpr base::clock_time maxTrialPeriod = base::clock_time::ofMillis(1500);

// The agents that need not be asked again.
std::vector<base::node_id> excludedFrom(const flow_state &state, const base::flow_key &key);

// Notes that these agents know nothing of the flow, and that their servers do not have it.
void excludeAgents(flow_context &context, const base::flow_key &key,
                   const std::vector<base::node_id> &agents);

// Whether packets of the flow may go to servers that may not have it.
bool mayTry(const flow_context &context, const base::flow_key &key);

// Whether this agent has sent a packet of the flow from server to server.
bool hasTrial(const flow_state &state, const base::flow_key &key);

// Whether that packet may still be on its way.
bool isOnTrial(const flow_context &context, const base::flow_key &key);

void beginTrial(flow_context &context, const base::flow_key &key,
                const std::vector<base::node_id> &candidates);

// All servers on trial have returned the packet, or were silent, which leaves doubt. Returns false
// if this agent has not begun the trial.
bool endTrial(flow_context &context, const base::flow_key &key, bool isDoubtful);

// Whether an agent or server could not be asked since the search began.
bool isSearchDoubtful(const flow_state &state, const base::flow_key &key);

// The flow has been found, or its key begins a new flow.
void forgetSearch(flow_state &state, const base::flow_key &key);

// Removes searches that were not used for a while.
void searchTick(flow_context &context);

} // namespace lycheeshunt::flows::internal
