#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/base/packet_bytes.h"
#include "lycheeshunt/packets/ip_summary.h"
#include "lycheeshunt/routing/route.h"

namespace lycheeshunt::routing {

// An opening packet of which the first copy was sent to this destination.
struct sent_opening
{
    const packets::ip_summary summary;
    const base::packet_bytes bytes;
    const route destination;
    // The target latency of the requests to the address; above 0.
    const base::clock_time targetLatency;

    bool operator==(const sent_opening &) const = default;
};

} // namespace lycheeshunt::routing
