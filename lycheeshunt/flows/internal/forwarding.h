// Forwards packets from agent to agent.

#pragma once

#include "lycheeshunt/flows/forwarded_packet.h"
#include "lycheeshunt/flows/internal/flow_context.h"

namespace lycheeshunt::flows::internal {

// Refuses a packet that was forwarded too often; by the time its caller retransmits it, the agents
// on the way have newer views.
void forwardTo(flow_context &context, const forwarded_packet &packet, const routing::target &to,
               packet_stage stage);

// Stores the owner that a lookup or an offer has shown; `at` is the generation of the agent that
// named the owner. A registration replaces the entry. A full directory stores nothing, and the next
// packet of the flow starts another lookup.
void storeOwner(flow_context &context, const base::flow_key &key, const routing::target &owner,
                base::generation at);

} // namespace lycheeshunt::flows::internal
