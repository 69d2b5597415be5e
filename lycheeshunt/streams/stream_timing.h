#pragma once

#include "lycheeshunt/base/clock_time.h"

namespace lycheeshunt::streams {

// When a silent connection is probed, given up and replaced.
struct stream_timing
{
    const base::clock_time pingEvery = base::clock_time::ofMillis(500);
    const base::clock_time silenceLimit = base::clock_time::ofMillis(1600);
    // A server that says nothing on a new connection for this long is passed over: the connection
    // to a VM that stands still is taken by its system alone.
    const base::clock_time firstWordLimit = base::clock_time::ofMillis(1000);
    // A server that does not take the connection within this is passed over. Several round trips
    // between regions; a VM without power answers nothing at all, and the operating system would
    // send the opening packet again only after a second.
    const base::clock_time connectLimit = base::clock_time::ofMillis(300);
    // A new attempt waits between half of this and the whole of it.
    const base::clock_time reconnectWait = base::clock_time::ofMillis(200);
    // An attempt at a server that another one has named waits no longer than this: it is up, and
    // the spread only keeps all clients from coming at the same instant.
    const base::clock_time directedWait = base::clock_time::ofMillis(30);

    bool operator==(const stream_timing &) const = default;
};

} // namespace lycheeshunt::streams
