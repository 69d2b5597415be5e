#pragma once

#include <compare>

namespace lycheeshunt::dissemination {

// Periodic timer: sends due updates and answers expired queries.
struct publisher_tick
{
    bool operator==(const publisher_tick &) const = default;
};

} // namespace lycheeshunt::dissemination
