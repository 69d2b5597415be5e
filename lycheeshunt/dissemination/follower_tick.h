#pragma once

#include <compare>

namespace lycheeshunt::dissemination {

// Time has passed: announce, and ask again for what has not come.
struct follower_tick
{
    bool operator==(const follower_tick &) const = default;
};

} // namespace lycheeshunt::dissemination
