#pragma once

#include "lycheeshunt/base/clock_time.h"

#include <cstddef>

namespace lycheeshunt::streams {

// Intervals and timeouts for probing, closing and replacing connections.
struct stream_timing
{
    const base::clock_time pingInterval = base::clock_time::ofMillis(500);
    const base::clock_time idleTimeout = base::clock_time::ofMillis(1600);
    // Limits the wait for the first bytes of a server on a new connection before the next server is
    // tried. On a VM whose process is stopped, the operating system still accepts connections.
    const base::clock_time firstReceiveTimeout = base::clock_time::ofMillis(1000);
    // Limits the wait for a TCP connection. Long enough for several
    // round trips between regions. A VM without power does not reply at all, and the operating
    // system would retransmit the SYN packet only after one second.
    const base::clock_time connectTimeout = base::clock_time::ofMillis(300);
    // The next server is tried beside a server that has not replied for this long, which is several
    // round trips within a region.
    const base::clock_time attemptDelay = base::clock_time::ofMillis(100);
    // After a failed attempt, as at a VM whose process has not started yet, the next server is
    // tried after this. Limits the attempts of each client to 50 a second.
    const base::clock_time refusedDelay = base::clock_time::ofMillis(20);
    // Attempts that may be under way at the same time.
    const std::size_t maxAttempts = 3;
    // After a lost connection, and when so many attempts as there are servers were refused, the
    // client waits for a random time between half of this and all of it.
    const base::clock_time reconnectDelay = base::clock_time::ofMillis(200);
    // An attempt at a server that another server referred the client to waits for a random time of
    // at most this. Such a server is known to be up; the delay only keeps all clients from
    // connecting at the same instant.
    const base::clock_time redirectDelay = base::clock_time::ofMillis(30);

    bool operator==(const stream_timing &) const = default;
};

} // namespace lycheeshunt::streams
