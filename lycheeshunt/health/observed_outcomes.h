#pragma once

#include <cstdint>

namespace lycheeshunt::health {

// What the agent itself saw of its backend server since the last such count.
struct observed_outcomes
{
    // Flows that got an answer.
    const std::uint32_t answered = 0;
    // Flows that the backend server reset, or left without any answer for too long.
    const std::uint32_t failed = 0;

    bool operator==(const observed_outcomes &) const = default;
};

} // namespace lycheeshunt::health
