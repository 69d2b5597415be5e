// The log lines of an entry's decisions about packets.

#pragma once

#include "lycheeshunt/packets/ip_summary.h"
#include "lycheeshunt/routing/due_opening.h"
#include "lycheeshunt/routing/hedge_decision.h"
#include "lycheeshunt/routing/steering.h"

namespace lycheeshunt::routing::internal {

// `at` is the generation of the table that the decision was made with.
void logSteering(const packets::ip_summary &packet, const steering &decision, base::generation at);
void logHedge(const due_opening &due, const send_hedge &copy);

} // namespace lycheeshunt::routing::internal
