#pragma once

#include <string>

namespace lycheeshunt::metrics {

// Distinguishes samples of the same metric.
struct label
{
    const std::string name;
    const std::string value;

    bool operator==(const label &) const = default;
};

} // namespace lycheeshunt::metrics
