#pragma once

#include "lycheeshunt/base/clock_time.h"

namespace lycheeshunt::placement {

// Moving means over the recent past of one backend server.
struct server_evidence
{
    // Share of recent work that failed, and how much work that is, decaying with time.
    double failedShare = 0;
    double samples = 0;
    base::clock_time sampledAt = {};
    // How well the server's load report has agreed with the agent's own count; 1 is always.
    double agreement = 0;
    double reportedLoad = 0;
    bool reportedHealthy = true;
    base::clock_time reportedAt = {};

    bool operator==(const server_evidence &) const = default;
};

} // namespace lycheeshunt::placement
