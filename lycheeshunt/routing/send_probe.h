#pragma once

#include "lycheeshunt/routing/target.h"

namespace lycheeshunt::routing {

// Ask this agent for a sign of life.
struct send_probe
{
    const target to;
    const std::uint64_t number = 0;

    bool operator==(const send_probe &) const = default;
};

} // namespace lycheeshunt::routing
