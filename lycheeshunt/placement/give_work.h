#pragma once

#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::placement {

// Have admission give up work that waits, and offer it to the agent that asked.
struct give_work
{
    const base::node_id to;

    bool operator==(const give_work &) const = default;
};

} // namespace lycheeshunt::placement
