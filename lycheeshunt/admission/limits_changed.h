#pragma once

#include "lycheeshunt/tickets/service_limits.h"

namespace lycheeshunt::admission {

// A ticket changed the limits of the service.
struct limits_changed
{
    const tickets::service_limits limits;

    bool operator==(const limits_changed &) const = default;
};

} // namespace lycheeshunt::admission
