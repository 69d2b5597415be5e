#pragma once

#include "lycheeshunt/admission/slot_counts.h"
#include <cstdint>

namespace lycheeshunt::placement {

// The load that an agent reports to the other agents of its service.
struct server_load
{
    const admission::slot_counts slots = {};
    const std::uint32_t flows = 0;
    // Busy slots that a trusted load report of the server adds to the agent's own count.
    const std::uint32_t hintedBusy = 0;
    // Most of the recent work failed.
    const bool failing = false;
    // Mean time from a request's delivery to the first byte of its answer; 0 when unknown.
    const std::uint32_t serviceMillis = 0;

    bool operator==(const server_load &) const = default;
};

} // namespace lycheeshunt::placement
