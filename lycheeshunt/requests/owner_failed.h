#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/requests/request_identity.h"

namespace lycheeshunt::requests {

// The request was dispatched to the backend server but got no answer.
struct owner_failed
{
    const request_identity identity;
    const base::node_id owner;

    bool operator==(const owner_failed &) const = default;
};

} // namespace lycheeshunt::requests
