#pragma once

#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::placement {

// Have admission give up work that waits, and offer it to the agent that asked.
struct release_work
{
    const base::node_id to;

    bool operator==(const release_work &) const = default;
};

} // namespace lycheeshunt::placement
