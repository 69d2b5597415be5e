#pragma once

#include "lycheeshunt/base/clock_time.h"

namespace lycheeshunt::flows {

enum class request_step : std::uint8_t {
    waited = 1, // at the agent for a slot of the server
    answered, // from the server's first packet of the request to the first of its answer
};

// How long one step of a request took, for the metrics.
struct request_timing
{
    const request_step step;
    const base::clock_time span;

    bool operator==(const request_timing &) const = default;
};

} // namespace lycheeshunt::flows
