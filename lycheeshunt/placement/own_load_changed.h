#pragma once

#include "lycheeshunt/placement/server_load.h"

namespace lycheeshunt::placement {

// What this agent counts has changed.
struct own_load_changed
{
    const server_load load = {};

    bool operator==(const own_load_changed &) const = default;
};

} // namespace lycheeshunt::placement
