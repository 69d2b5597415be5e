#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/dissemination/view_digest.h"

namespace lycheeshunt::dissemination {

// A delta in flight that has not been acknowledged yet.
struct sent_delta
{
    const base::generation from;
    const base::generation to;
    const view_digest digest;
    const base::clock_time sentAt;
    // A request for it that is received earlier was sent before the delta could arrive.
    const base::clock_time lostAt;
    // When the next delta is sent unless this one is acknowledged before.
    const base::clock_time repeatAt;

    bool operator==(const sent_delta &) const = default;
};

} // namespace lycheeshunt::dissemination
