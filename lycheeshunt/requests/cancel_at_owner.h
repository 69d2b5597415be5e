#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/requests/request_identity.h"

namespace lycheeshunt::requests {

// Requests the owner to cancel a request that it was permitted to start.
struct cancel_at_owner
{
    const request_identity identity;
    const base::node_id owner;

    bool operator==(const cancel_at_owner &) const = default;
};

} // namespace lycheeshunt::requests
