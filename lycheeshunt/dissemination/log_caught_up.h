#pragma once

#include <cstdint>

namespace lycheeshunt::dissemination {

// All entries of terms before this one have been applied.
struct log_caught_up
{
    const std::uint64_t term = 0;

    bool operator==(const log_caught_up &) const = default;
};

} // namespace lycheeshunt::dissemination
