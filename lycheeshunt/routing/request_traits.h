#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/tickets/request_kind.h"

#include <cstdint>

namespace lycheeshunt::routing {

// What the route of an address says of the requests to it.
struct request_traits
{
    const tickets::request_kind kind = tickets::request_kind::nonIdempotent;
    // 0 is the highest priority.
    const std::uint32_t priority = 0;
    const base::clock_time targetLatency = {};

    bool operator==(const request_traits &) const = default;
};

} // namespace lycheeshunt::routing
