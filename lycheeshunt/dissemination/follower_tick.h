#pragma once

#include <compare>

namespace lycheeshunt::dissemination {

// Periodic timer: announces the node and retries unanswered requests.
struct follower_tick
{
    bool operator==(const follower_tick &) const = default;
};

} // namespace lycheeshunt::dissemination
