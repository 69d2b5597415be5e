#pragma once

#include "lycheeshunt/routing/bypassed_agents.h"

namespace lycheeshunt::routing {

// From now on bypass these agents and no others.
struct set_bypass
{
    const bypassed_agents agents = {};

    bool operator==(const set_bypass &) const = default;
};

} // namespace lycheeshunt::routing
