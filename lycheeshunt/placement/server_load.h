#pragma once

#include "lycheeshunt/admission/slot_counts.h"
#include <cstdint>

namespace lycheeshunt::placement {

// What an agent tells the other agents of its service.
struct server_load
{
    const admission::slot_counts slots = {};
    const std::uint32_t flows = 0;
    // Slots that a trusted load report of the server adds to what the agent counts.
    const std::uint32_t hintedBusy = 0;
    // Most of the recent work failed.
    const bool failing = false;

    bool operator==(const server_load &) const = default;
};

} // namespace lycheeshunt::placement
