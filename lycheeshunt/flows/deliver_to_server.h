#pragma once

#include "lycheeshunt/base/packet_bytes.h"

namespace lycheeshunt::flows {

// Deliver a caller's packet to this agent's backend server.
struct deliver_to_server
{
    const base::packet_bytes bytes;

    bool operator==(const deliver_to_server &) const = default;
};

} // namespace lycheeshunt::flows
