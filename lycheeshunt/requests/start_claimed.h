#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/requests/request_identity.h"

namespace lycheeshunt::requests {

// An owner has a free slot and requests permission to start the request.
struct start_claimed
{
    const request_identity identity;
    const base::node_id owner;

    bool operator==(const start_claimed &) const = default;
};

} // namespace lycheeshunt::requests
