#pragma once

#include <cstdint>

namespace lycheeshunt::admission {

// What one agent counts at its own backend server.
struct slot_counts
{
    // Slots that may be used now.
    const std::uint32_t allowed = 0;
    const std::uint32_t busy = 0;
    // Of the busy slots, those that long work holds.
    const std::uint32_t longBusy = 0;
    const std::uint32_t queued = 0;
    const bool draining = false;
    // Whether new work would be let in now.
    const bool accepting = true;

    bool operator==(const slot_counts &) const = default;
};

} // namespace lycheeshunt::admission
