#pragma once

#include <cstdint>

namespace lycheeshunt::health {

enum class reported_health : std::uint8_t { good, bad, unreachable };

// Result of one poll of the health and load endpoints of a backend server.
struct health_report
{
    const reported_health health = reported_health::good;
    // As reported by the load endpoint; 0 if it reported none.
    const std::uint32_t busySlots = 0;

    bool operator==(const health_report &) const = default;
};

} // namespace lycheeshunt::health
