#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/membership/member.h"

namespace lycheeshunt::membership {

// A member's own last word, and how steadily it has been heard.
struct lease
{
    const membership::member member;
    const base::clock_time lastHeard;
    // Start of the present spell of announcements without a lapse.
    const base::clock_time steadySince;
    // Lapses and restarts that are not yet forgiven.
    const std::uint32_t lapses = 0;
    // When the member's share began to grow.
    const base::clock_time rampSince;
    // False while only the log has spoken of the member.
    const bool announced = true;

    bool operator==(const lease &) const = default;
};

} // namespace lycheeshunt::membership
