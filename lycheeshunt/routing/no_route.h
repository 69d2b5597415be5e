#pragma once

#include "lycheeshunt/base/error_code.h"

namespace lycheeshunt::routing {

// No agent can take the packet, for this reason.
struct no_route
{
    const base::error_code reason;

    bool operator==(const no_route &) const = default;
};

} // namespace lycheeshunt::routing
