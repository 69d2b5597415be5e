#pragma once

namespace lycheeshunt::placement {

// Periodic tick; the time is a parameter of decide().
struct placement_tick
{
    bool operator==(const placement_tick &) const = default;
};

} // namespace lycheeshunt::placement
