#pragma once

#include "lycheeshunt/base/error_code.h"
#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/requests/request_identity.h"

namespace lycheeshunt::requests {

// The owner did not run the request, or its backend server rejected it before running any of it.
struct owner_refused
{
    const request_identity identity;
    const base::node_id owner;
    const base::error_code reason;

    bool operator==(const owner_refused &) const = default;
};

} // namespace lycheeshunt::requests
