#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/placement/flow_offered.h"

namespace lycheeshunt::placement {

// Offer the flow to another agent.
struct pass_flow
{
    const base::node_id to;
    const flow_offered offer;

    bool operator==(const pass_flow &) const = default;
};

} // namespace lycheeshunt::placement
