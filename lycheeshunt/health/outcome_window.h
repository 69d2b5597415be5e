#pragma once

#include "lycheeshunt/base/clock_time.h"

#include <cstdint>

namespace lycheeshunt::health {

// Flow outcomes observed in the current window and in the previous one.
struct outcome_window
{
    const base::clock_time startedAt = {};
    const std::uint32_t answered = 0;
    const std::uint32_t failed = 0;
    const std::uint32_t previousAnswered = 0;
    const std::uint32_t previousFailed = 0;

    std::uint32_t totalAnswered() const { return answered + previousAnswered; }
    std::uint32_t totalFailed() const { return failed + previousFailed; }

    bool operator==(const outcome_window &) const = default;
};

} // namespace lycheeshunt::health
