#pragma once

#include <cstdint>
#include <vector>

namespace lycheeshunt::metrics {

// The contents of a histogram: ascending upper bounds, one count for each bound, and one more count
// for the values above the last bound.
struct histogram_value
{
    const std::vector<double> bounds = {};
    const std::vector<std::uint64_t> counts = {};
    const double sum = 0;

    bool operator==(const histogram_value &) const = default;
};

} // namespace lycheeshunt::metrics
