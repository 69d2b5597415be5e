#pragma once

#include "lycheeshunt/base/clock_time.h"

namespace lycheeshunt::flows {

enum class request_step : std::uint8_t {
    waited = 1, // at the agent for a slot of the backend server
    answered, // from delivery to the backend server to the first packet of its answer
};

// The duration of one step of a request, for the metrics.
struct request_timing
{
    const request_step step;
    const base::clock_time span;
    // Of the request that waited.
    const std::uint8_t priority = 0;

    bool operator==(const request_timing &) const = default;
};

} // namespace lycheeshunt::flows
