// Bounds on the connections of one listener.

#pragma once

#include "lycheeshunt/base/clock_time.h"

#include <cstddef>

namespace lycheeshunt::http {

struct connection_limits
{
    // A process opens up to three listeners, which together take less than a fifth of the 4,096
    // descriptors that it may have.
    const std::size_t connections = 256;
    // A new connection beyond this limit takes the place of one from the same address. Connections
    // with a complete request are not closed for it, so the limit may be exceeded by these.
    const std::size_t connectionsPerAddress = 128;
    // Memory for the bodies that are being received, including their read buffers. The listener
    // raises it to 16 bodies of the largest size that it accepts.
    const std::size_t bodyBytes = std::size_t {2} * 1024 * 1024;
    // From the connection's opening, or from its last answer, to the first byte of a request.
    const base::clock_time idleTimeout = base::clock_time::ofSeconds(30);
    // From the first byte of a request to the end of its header.
    const base::clock_time headerTimeout = base::clock_time::ofSeconds(10);
    // From the end of the header to the end of the body.
    const base::clock_time bodyTimeout = base::clock_time::ofSeconds(30);
    const base::clock_time writeTimeout = base::clock_time::ofSeconds(10);
    // For a caller that still sends after its connection's last answer. Unread input resets a
    // connection that closes, and the reset may overtake the answer.
    const base::clock_time discardTimeout = base::clock_time::ofSeconds(1);

    bool operator==(const connection_limits &) const = default;
};

} // namespace lycheeshunt::http
