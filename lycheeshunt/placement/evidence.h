// Weighs the reports of a backend server's health and load endpoints against what its agent
// observes. The endpoints may lag or be wrong, so they count only where the agent has no better
// information, or where they have agreed with it.
//
//     evidence = afterReport(evidence, 0.4, true, ownLoad, now);
//     const bool failing = isFailing(evidence, now);

#pragma once

#include "lycheeshunt/admission/slot_counts.h"
#include "lycheeshunt/admission/work_outcome.h"
#include "lycheeshunt/placement/server_evidence.h"
#include <cstdint>

namespace lycheeshunt::placement {

server_evidence afterWork(server_evidence evidence, admission::work_outcome outcome,
                          base::clock_time now);

// ownLoad is the share of slots that are busy by the agent's own count.
server_evidence afterReport(server_evidence evidence, double reportedLoad, bool reportedHealthy,
                            double ownLoad, base::clock_time now);

// Returns true if most recent work failed or, without recent work, if a fresh report says
// unhealthy.
bool isFailing(const server_evidence &evidence, base::clock_time now);

// Busy slots to add to the agent's own count: 0 unless the last report is fresh and the reports
// have agreed with that count.
std::uint32_t hintedBusy(const server_evidence &evidence, const admission::slot_counts &own,
                         base::clock_time now);

} // namespace lycheeshunt::placement
