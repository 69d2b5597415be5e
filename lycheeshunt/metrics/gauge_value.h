#pragma once

namespace lycheeshunt::metrics {

// A reading that may rise and fall.
struct gauge_value
{
    const double reading = 0;

    bool operator==(const gauge_value &) const = default;
};

} // namespace lycheeshunt::metrics
