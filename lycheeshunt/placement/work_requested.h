#pragma once

#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::placement {

// Another agent has a free slot and requests work that is queued here.
struct work_requested
{
    const base::node_id from;

    bool operator==(const work_requested &) const = default;
};

} // namespace lycheeshunt::placement
