#pragma once

#include <cstdint>

namespace lycheeshunt::health {

enum class reported_health : std::uint8_t { good, bad, unreachable };

// What the backend server's health and load endpoints said at one poll.
struct health_report
{
    const reported_health health = reported_health::good;
    // As the load endpoint counts them; 0 when it gave none.
    const std::uint32_t busySlots = 0;

    bool operator==(const health_report &) const = default;
};

} // namespace lycheeshunt::health
