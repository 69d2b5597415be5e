#pragma once

#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::placement {

// Ask another agent for work that waits there.
struct request_work
{
    const base::node_id to;

    bool operator==(const request_work &) const = default;
};

} // namespace lycheeshunt::placement
