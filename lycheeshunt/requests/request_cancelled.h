#pragma once

#include "lycheeshunt/requests/request_identity.h"

namespace lycheeshunt::requests {

// The caller cancelled the request.
struct request_cancelled
{
    const request_identity identity;

    bool operator==(const request_cancelled &) const = default;
};

} // namespace lycheeshunt::requests
