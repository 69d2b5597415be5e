#pragma once

#include "lycheeshunt/requests/request_identity.h"

namespace lycheeshunt::requests {

// Acknowledges to the director that this backup stores its record.
struct acknowledge_copy
{
    const request_identity identity;

    bool operator==(const acknowledge_copy &) const = default;
};

} // namespace lycheeshunt::requests
