#pragma once

#include "lycheeshunt/base/clock_time.h"

#include <cstdint>

namespace lycheeshunt::flows {

// The backend server has announced how long its warm-up will still take.
struct warmup_changed
{
    // 0 when the server is warm.
    const base::clock_time coldUntil;
    // Starts of the server so far; each start has tokens of its own.
    const std::uint64_t serverStarts = 0;

    bool operator==(const warmup_changed &) const = default;
};

} // namespace lycheeshunt::flows
