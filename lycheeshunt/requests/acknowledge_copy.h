#pragma once

#include "lycheeshunt/requests/request_identity.h"

namespace lycheeshunt::requests {

// Tell the director that this backup holds its record.
struct acknowledge_copy
{
    const request_identity identity;

    bool operator==(const acknowledge_copy &) const = default;
};

} // namespace lycheeshunt::requests
