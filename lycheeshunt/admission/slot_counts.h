#pragma once

#include <cstdint>

namespace lycheeshunt::admission {

// Slot usage of the backend server of one agent.
struct slot_counts
{
    // Current concurrency limit.
    const std::uint32_t allowed = 0;
    const std::uint32_t busy = 0;
    // Busy slots that are occupied by long work.
    const std::uint32_t longBusy = 0;
    const std::uint32_t queued = 0;
    const bool draining = false;
    // Whether new work would be admitted now.
    const bool accepting = true;

    bool operator==(const slot_counts &) const = default;
};

} // namespace lycheeshunt::admission
