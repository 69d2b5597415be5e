// Bounds on what a view holds. Front ends refuse what lies beyond them, and decoders skip it.

#pragma once

#include "lycheeshunt/base/clock_time.h"

#include <cstddef>
#include <cstdint>

namespace lycheeshunt::tickets {

inline constexpr std::size_t maxServiceNameBytes = 255;
inline constexpr std::uint32_t maxBuckets = 65'536;
inline constexpr std::size_t maxRouteShares = 256;
inline constexpr std::uint32_t maxShareWeight = 1'000'000;
// Former services of one route. Bounds a search for a flow, and the memory of each route.
inline constexpr std::size_t maxFormerServices = 16;
inline constexpr base::clock_time maxPeriod = base::clock_time::ofSeconds(7 * 86'400);
// Requests per second at a cold server, and the length of its warm-up.
inline constexpr double maxWarmupRate = 1'000'000;
inline constexpr base::clock_time maxWarmupTime = base::clock_time::ofSeconds(1'000'000);

} // namespace lycheeshunt::tickets
