#pragma once

#include <cstdint>

namespace lycheeshunt::health {

// Flow outcomes at the backend server that the agent observed since its previous message.
struct observed_outcomes
{
    // Flows that the backend server answered.
    const std::uint32_t answered = 0;
    // Flows that the backend server reset, or that timed out without any answer.
    const std::uint32_t failed = 0;

    bool operator==(const observed_outcomes &) const = default;
};

} // namespace lycheeshunt::health
