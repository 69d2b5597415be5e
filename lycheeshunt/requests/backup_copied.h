#pragma once

#include "lycheeshunt/requests/request_identity.h"

namespace lycheeshunt::requests {

// The backup director holds the record of a start.
struct backup_copied
{
    const request_identity identity;

    bool operator==(const backup_copied &) const = default;
};

} // namespace lycheeshunt::requests
