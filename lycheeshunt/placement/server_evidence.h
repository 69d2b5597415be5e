#pragma once

#include "lycheeshunt/base/clock_time.h"

namespace lycheeshunt::placement {

// Moving averages of the recent results and load reports of one backend server.
struct server_evidence
{
    // Share of recent work that failed, and its number of samples, which decays with time.
    double failedShare = 0;
    double samples = 0;
    base::clock_time sampledAt = {};
    // Mean agreement of the server's load reports with the agent's own count; 1 is complete
    // agreement.
    double agreement = 0;
    double reportedLoad = 0;
    bool reportedHealthy = true;
    base::clock_time reportedAt = {};

    bool operator==(const server_evidence &) const = default;
};

} // namespace lycheeshunt::placement
