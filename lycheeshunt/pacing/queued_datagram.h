#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/packets/ip_summary.h"

#include <string>

namespace lycheeshunt::pacing {

// A datagram with one packet of a caller, on its way to an agent.
struct queued_datagram
{
    const packets::ip_summary summary;
    const base::endpoint to;
    const std::string bytes;
    // 0 is the highest; all datagrams of a flow have one.
    const std::uint8_t priority = 0;

    bool operator==(const queued_datagram &) const = default;
};

} // namespace lycheeshunt::pacing
