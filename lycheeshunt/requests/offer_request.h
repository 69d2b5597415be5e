#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/requests/request_identity.h"

namespace lycheeshunt::requests {

// Offers the request to placement, which selects an agent for it.
struct offer_request
{
    const request_identity identity;
    const base::clock_time deadline;

    bool operator==(const offer_request &) const = default;
};

} // namespace lycheeshunt::requests
