#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/routing/target.h"

#include <string>

namespace lycheeshunt::routing {

// The probe history of one agent at one entry.
struct agent_liveness
{
    const target agent;
    const std::string availabilityZone;
    // The last probe, and whether its echo is still pending.
    const base::clock_time probedAt;
    const std::uint64_t number = 0;
    const bool isAnswerPending = false;
    // Consecutive.
    const std::uint32_t misses = 0;
    const std::uint32_t answers = 0;
    const bool suspected = false;

    bool operator==(const agent_liveness &) const = default;
};

} // namespace lycheeshunt::routing
