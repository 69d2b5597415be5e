#pragma once

#include "lycheeshunt/base/endpoint.h"

namespace lycheeshunt::evacuations {

// Who leads. A VM that does not lead sends operators to the one that does.
struct leadership_update
{
    const bool isLeader = false;
    // Operators' address of the leader; port 0 while none is known.
    const base::endpoint leaderApi = {};

    bool operator==(const leadership_update &) const = default;
};

} // namespace lycheeshunt::evacuations
