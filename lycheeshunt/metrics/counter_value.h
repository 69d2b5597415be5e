#pragma once

#include <cstdint>

namespace lycheeshunt::metrics {

// A count since the start of the process; it never decreases.
struct counter_value
{
    const std::uint64_t count = 0;

    bool operator==(const counter_value &) const = default;
};

} // namespace lycheeshunt::metrics
