#pragma once

#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::placement {

// Removes queued work from admission and offers it to the agent that requested work.
struct release_work
{
    const base::node_id to;

    bool operator==(const release_work &) const = default;
};

} // namespace lycheeshunt::placement
