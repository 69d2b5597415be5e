#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/membership/member.h"

namespace lycheeshunt::membership {

// A member's own last word, and when it came.
struct lease
{
    const membership::member member;
    const base::clock_time heardAt;

    bool operator==(const lease &) const = default;
};

} // namespace lycheeshunt::membership
