#pragma once

#include "lycheeshunt/base/clock_time.h"

namespace lycheeshunt::streams {

// When a silent connection is probed, given up and replaced.
struct stream_timing
{
    const base::clock_time pingEvery = base::clock_time::ofMillis(1000);
    const base::clock_time silenceLimit = base::clock_time::ofMillis(3000);
    // A new attempt waits between half of this and the whole of it.
    const base::clock_time reconnectWait = base::clock_time::ofMillis(400);

    bool operator==(const stream_timing &) const = default;
};

} // namespace lycheeshunt::streams
