#pragma once

#include "lycheeshunt/routing/bypassed_agents.h"

namespace lycheeshunt::routing {

// Bypass exactly these agents from now on.
struct set_bypass
{
    const bypassed_agents agents = {};

    bool operator==(const set_bypass &) const = default;
};

} // namespace lycheeshunt::routing
