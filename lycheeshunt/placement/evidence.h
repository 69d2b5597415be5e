// Weighs a backend server's health and load endpoints against what its agent sees. Endpoints lag
// or mislead, so they count only where the agent has nothing better, or where they have been right.
//
//     evidence = afterReport(evidence, 0.4, true, ownLoad, now);
//     const bool failing = isFailing(evidence, now);

#pragma once

#include "lycheeshunt/admission/slot_counts.h"
#include "lycheeshunt/admission/work_end.h"
#include "lycheeshunt/placement/server_evidence.h"
#include <cstdint>

namespace lycheeshunt::placement {

server_evidence afterWork(server_evidence known, admission::work_end how, base::clock_time now);

// ownLoad is the share of slots that the agent itself counts as busy.
server_evidence afterReport(server_evidence known, double reportedLoad, bool reportedHealthy,
                            double ownLoad, base::clock_time now);

// True when the work itself fails, or, without recent work, when a fresh report says so.
bool isFailing(const server_evidence &known, base::clock_time now);

// Busy slots to add to the agent's own count: none unless the report is fresh and has agreed.
std::uint32_t hintedBusy(const server_evidence &known, const admission::slot_counts &own,
                         base::clock_time now);

} // namespace lycheeshunt::placement
