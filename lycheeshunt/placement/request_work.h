#pragma once

#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::placement {

// Requests queued work from another agent.
struct request_work
{
    const base::node_id to;

    bool operator==(const request_work &) const = default;
};

} // namespace lycheeshunt::placement
