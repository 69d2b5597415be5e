#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/flows/forwarded_packet.h"

namespace lycheeshunt::flows {

// Forward a caller's packet to another agent.
struct send_packet
{
    const base::endpoint to;
    const forwarded_packet packet;

    bool operator==(const send_packet &) const = default;
};

} // namespace lycheeshunt::flows
