#pragma once

#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::requests {

// An agent is gone, or has restarted.
struct owner_lost
{
    const base::node_id owner;

    bool operator==(const owner_lost &) const = default;
};

} // namespace lycheeshunt::requests
