// Search for a flow whose owner no agent knows: its packet is delivered in turn to the backend
// servers that may hold it, each of which returns it if it does not.

#pragma once

#include "lycheeshunt/base/error_code.h"
#include "lycheeshunt/flows/internal/flow_context.h"

#include <vector>

namespace lycheeshunt::flows::internal {

// Whether the backend server may have the flow although this agent does not claim it.
bool mayServerHave(const flow_state &state, const base::flow_key &key);

// Notifies the entry that this agent has no owner for the flow; `reason` and the number of queried
// agents are for the log. Unless the packet is doubtful, the entry may reset the caller.
void notifyEntry(flow_context &context, const forwarded_packet &packet, bool isDoubtful,
                 base::error_code reason = base::error_code::flowUnknown, std::size_t queried = 0);

// Tries the servers of the candidates in turn, this agent's own first. The packet comes back to
// this agent if all of them return it.
void tryCandidateServers(flow_context &context, const forwarded_packet &packet,
                         const std::vector<base::node_id> &candidates);

// Sends the packet to the next candidate; the remaining candidates are listed in the packet. The
// last one listed is the agent that has begun the trial: it continues the search.
void tryNextCandidate(flow_context &context, const forwarded_packet &packet);

} // namespace lycheeshunt::flows::internal
