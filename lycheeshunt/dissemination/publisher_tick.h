#pragma once

#include <compare>

namespace lycheeshunt::dissemination {

// Time has passed: send what is due, answer whoever has waited long enough.
struct publisher_tick
{
    bool operator==(const publisher_tick &) const = default;
};

} // namespace lycheeshunt::dissemination
