// Keeps the mean time that a backend server takes to answer a request, and compares the times of
// the servers of one service.
//
//     time = afterAnswer(time, span, now);
//     const std::uint32_t reported = knownMillis(time, now);

#pragma once

#include "lycheeshunt/placement/service_time.h"

#include <vector>

namespace lycheeshunt::placement {

// The span is from a request's delivery to the server to the first byte of its answer.
service_time afterAnswer(service_time time, base::clock_time span, base::clock_time now);

// The mean for load reports; 0 when there are too few samples, or only old ones.
std::uint32_t knownMillis(const service_time &time, base::clock_time now);

// What is usual among the times of the servers of a service: the mean of the middle half. 0 when no
// time is known.
double usualMillis(std::vector<std::uint32_t> times);

// How many times as long as usual a server takes. 1 when its time is not known or differs from the
// usual one by less than a quarter.
double slownessOf(std::uint32_t serviceMillis, double usual);

} // namespace lycheeshunt::placement
