// Passing packets from agent to agent.

#pragma once

#include "lycheeshunt/flows/forwarded_packet.h"
#include "lycheeshunt/flows/internal/flow_context.h"

namespace lycheeshunt::flows::internal {

// Sends the packet on; one that has passed through too many agents is refused, and its caller's
// retransmission goes by views that are newer by then.
void forwardTo(flow_context &context, const forwarded_packet &packet, const routing::target &to,
               packet_stage stage);

// Stores who owns the flow, as a lookup or an offer has shown; at is the generation of the agent
// that told. A registration replaces it; a full directory stores nothing, and the next packet
// leads to another lookup.
void rememberOwner(flow_context &context, const base::flow_key &key, const routing::target &owner,
                   base::generation at);

} // namespace lycheeshunt::flows::internal
