#pragma once

#include "lycheeshunt/routing/target.h"

namespace lycheeshunt::routing {

// Send a liveness probe to this agent.
struct send_probe
{
    const target to;
    const std::uint64_t number = 0;

    bool operator==(const send_probe &) const = default;
};

} // namespace lycheeshunt::routing
