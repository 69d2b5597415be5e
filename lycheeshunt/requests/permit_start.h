#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/requests/request_identity.h"

namespace lycheeshunt::requests {

// Permits the owner to dispatch the request to its backend server, once.
struct permit_start
{
    const request_identity identity;
    const base::node_id owner;

    bool operator==(const permit_start &) const = default;
};

} // namespace lycheeshunt::requests
