#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/pacing/queued_datagram.h"

#include <list>

namespace lycheeshunt::pacing {

// The datagrams of one flow that wait, and the bytes of these and of all that the flow has queued
// since it became active. Mutable, as part of egress_queue.
struct flow_queue
{
    std::list<queued_datagram> datagrams;
    std::size_t activeBytes = 0;
    base::clock_time activeSince;
    base::clock_time lastUsed;
    // Of the last datagram.
    std::uint8_t priority = 0;
};

} // namespace lycheeshunt::pacing
