#pragma once

#include "lycheeshunt/routing/target.h"

#include <string>

namespace lycheeshunt::routing {

// An agent that the entry probes.
struct probed_agent
{
    const target agent;
    const std::string availabilityZone;

    bool operator==(const probed_agent &) const = default;
};

} // namespace lycheeshunt::routing
