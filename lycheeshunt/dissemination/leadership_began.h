#pragma once

#include <cstdint>

namespace lycheeshunt::dissemination {

// This VM became the leader of a term. Until log_caught_up for the term, its view may lack entries
// that the earlier leader committed, so that no node may start from it.
struct leadership_began
{
    const std::uint64_t term = 0;

    bool operator==(const leadership_began &) const = default;
};

} // namespace lycheeshunt::dissemination
