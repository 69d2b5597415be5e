#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/placement/flow_offered.h"

namespace lycheeshunt::placement {

// Sends the offer of the flow to another agent.
struct forward_offer
{
    const base::node_id to;
    const flow_offered offer;

    bool operator==(const forward_offer &) const = default;
};

} // namespace lycheeshunt::placement
