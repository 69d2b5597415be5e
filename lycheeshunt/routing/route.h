#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/routing/target.h"

namespace lycheeshunt::routing {

// The agent to send a packet to, and the service that the packet is for. `at` is the generation of
// the table that chose the agent.
struct route
{
    const base::service_id service;
    const base::generation at;
    const target to;

    bool operator==(const route &) const = default;
};

} // namespace lycheeshunt::routing
