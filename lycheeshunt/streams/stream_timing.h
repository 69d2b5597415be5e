#pragma once

#include "lycheeshunt/base/clock_time.h"

namespace lycheeshunt::streams {

// When a silent connection is probed, given up and replaced.
struct stream_timing
{
    const base::clock_time pingEvery = base::clock_time::ofMillis(500);
    const base::clock_time silenceLimit = base::clock_time::ofMillis(1600);
    // A server that does not take the connection within this, or says nothing on it, is passed
    // over: that of a VM that stands still is taken by its system alone.
    const base::clock_time connectLimit = base::clock_time::ofMillis(1000);
    // A new attempt waits between half of this and the whole of it.
    const base::clock_time reconnectWait = base::clock_time::ofMillis(200);

    bool operator==(const stream_timing &) const = default;
};

} // namespace lycheeshunt::streams
