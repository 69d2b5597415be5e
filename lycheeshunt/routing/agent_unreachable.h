#pragma once

#include "lycheeshunt/base/endpoint.h"

namespace lycheeshunt::routing {

// The network reports by ICMP that this address does not receive datagrams.
struct agent_unreachable
{
    const base::endpoint packets;

    bool operator==(const agent_unreachable &) const = default;
};

} // namespace lycheeshunt::routing
