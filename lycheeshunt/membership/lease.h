#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/membership/member.h"

namespace lycheeshunt::membership {

// The last announcement of a member, and how regularly its announcements have arrived.
struct lease
{
    const membership::member member;
    const base::clock_time lastHeard;
    // Start of the current period of announcements without an interruption.
    const base::clock_time stableSince;
    // Interruptions and restarts since the counter was last reset.
    const std::uint32_t flaps = 0;
    // Start of the ramp-up of the member's share.
    const base::clock_time rampSince;
    // False while the member is known from the log only.
    const bool announced = true;

    bool operator==(const lease &) const = default;
};

} // namespace lycheeshunt::membership
