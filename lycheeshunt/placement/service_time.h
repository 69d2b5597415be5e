#pragma once

#include "lycheeshunt/base/clock_time.h"

#include <cstdint>

namespace lycheeshunt::placement {

// How long a backend server takes to answer a request, as its agent measures it. State: it changes
// in place.
struct service_time
{
    double meanMillis = 0;
    // Samples that the mean stands for; older ones count less.
    double weight = 0;
    // Samples without a gap longer than their lifetime.
    std::uint32_t taken = 0;
    base::clock_time sampledAt;
    // The mean that load reports give; it follows in steps.
    std::uint32_t reportedMillis = 0;
};

} // namespace lycheeshunt::placement
