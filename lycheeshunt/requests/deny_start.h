#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/requests/request_identity.h"

namespace lycheeshunt::requests {

// Denies the owner the start; it must drop the request without running it.
struct deny_start
{
    const request_identity identity;
    const base::node_id owner;

    bool operator==(const deny_start &) const = default;
};

} // namespace lycheeshunt::requests
