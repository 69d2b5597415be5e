#pragma once

#include <compare>
#include <cstdint>

namespace lycheeshunt::routing {

// How many further copies of opening packets an entry may send, in percent of the openings that may
// be hedged. 0 turns hedging off.
struct hedging_limit
{
    const std::uint32_t extraPercent = 0;

    bool isOn() const { return extraPercent > 0; }

    auto operator<=>(const hedging_limit &) const = default;
};

} // namespace lycheeshunt::routing
