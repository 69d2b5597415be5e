#pragma once

#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::requests {

// An owner was removed from the cluster or has restarted.
struct owner_terminated
{
    const base::node_id owner;

    bool operator==(const owner_terminated &) const = default;
};

} // namespace lycheeshunt::requests
