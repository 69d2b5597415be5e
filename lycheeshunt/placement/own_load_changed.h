#pragma once

#include "lycheeshunt/placement/server_load.h"

namespace lycheeshunt::placement {

// The load of this agent's server has changed.
struct own_load_changed
{
    const server_load load = {};

    bool operator==(const own_load_changed &) const = default;
};

} // namespace lycheeshunt::placement
