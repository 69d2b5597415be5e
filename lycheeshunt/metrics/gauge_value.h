#pragma once

namespace lycheeshunt::metrics {

// A value that may increase and decrease.
struct gauge_value
{
    const double reading = 0;

    bool operator==(const gauge_value &) const = default;
};

} // namespace lycheeshunt::metrics
