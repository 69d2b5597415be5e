#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/requests/request_identity.h"

namespace lycheeshunt::requests {

// Requests the outcome from the owner, which sends it at once if it already has it.
struct query_owner
{
    const request_identity identity;
    const base::node_id owner;

    bool operator==(const query_owner &) const = default;
};

} // namespace lycheeshunt::requests
