#pragma once

#include "lycheeshunt/base/error_code.h"

namespace lycheeshunt::routing {

// Nobody can take the packet, for this reason.
struct unroutable
{
    const base::error_code reason;

    bool operator==(const unroutable &) const = default;
};

} // namespace lycheeshunt::routing
