#pragma once

#include "lycheeshunt/base/clock_time.h"

#include <cstdint>

namespace lycheeshunt::health {

// Answers and failures of the last few seconds.
struct outcome_window
{
    const base::clock_time startedAt = {};
    const std::uint32_t answered = 0;
    const std::uint32_t failed = 0;
    const std::uint32_t answeredBefore = 0;
    const std::uint32_t failedBefore = 0;

    std::uint32_t allAnswered() const { return answered + answeredBefore; }
    std::uint32_t allFailed() const { return failed + failedBefore; }

    bool operator==(const outcome_window &) const = default;
};

} // namespace lycheeshunt::health
