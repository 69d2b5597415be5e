#pragma once

#include "lycheeshunt/requests/request_identity.h"

namespace lycheeshunt::requests {

// The backup director acknowledged that it stores the record of a start.
struct copy_acknowledged
{
    const request_identity identity;

    bool operator==(const copy_acknowledged &) const = default;
};

} // namespace lycheeshunt::requests
