#pragma once

#include "lycheeshunt/base/clock_time.h"

#include <cstdint>
#include <optional>

namespace lycheeshunt::tickets {

// Limits of the work that each backend server of a service gets.
struct service_limits
{
    const std::uint32_t slots = 7;
    const std::uint32_t connections = 2000;
    const std::uint32_t queueLength = 14;
    const base::clock_time queueWait = base::clock_time::ofMillis(2000);
    // Work older than this in its slot counts as long.
    const base::clock_time longWorkAge = base::clock_time::ofMillis(1000);
    // Slots that long work may not take while short work waits.
    const std::uint32_t shortOnlySlots = 2;

    // An open flow without a packet for this long is evicted. RFC 5382 asks for 2 h 4 min.
    const base::clock_time idleTimeout = base::clock_time::ofSeconds(7440);

    // Requests per second that a backend server can handle while it warms up after its start, and
    // how long that usually takes. Without a rate there is no limit; a rate of 0 is one.
    const std::optional<double> warmupRate = {};
    const base::clock_time warmupTime = {};

    bool operator==(const service_limits &) const = default;
};

} // namespace lycheeshunt::tickets
