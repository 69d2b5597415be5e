#pragma once

#include <cstdint>
#include <vector>

namespace lycheeshunt::metrics {

// What a histogram held: upper bounds ascending, and one count for each bound and one more for
// what lies above the last.
struct histogram_value
{
    const std::vector<double> bounds = {};
    const std::vector<std::uint64_t> counts = {};
    const double sum = 0;

    bool operator==(const histogram_value &) const = default;
};

} // namespace lycheeshunt::metrics
