#pragma once

#include <cstdint>

namespace lycheeshunt::tickets {

// All entries of terms before this one have been passed on. It passes through this duty unchanged,
// behind these entries.
struct other_caught_up
{
    const std::uint64_t term = 0;

    bool operator==(const other_caught_up &) const = default;
};

} // namespace lycheeshunt::tickets
