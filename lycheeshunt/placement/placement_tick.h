#pragma once

namespace lycheeshunt::placement {

// Time has passed; carries nothing else.
struct placement_tick
{
    bool operator==(const placement_tick &) const = default;
};

} // namespace lycheeshunt::placement
