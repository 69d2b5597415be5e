#pragma once

#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::flows {

// An agent that may regard itself as the director of a bucket until it reaches this generation.
struct former_director
{
    const base::node_id node;
    const base::generation until;

    bool operator==(const former_director &) const = default;
};

} // namespace lycheeshunt::flows
