#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/routing/target.h"

namespace lycheeshunt::routing {

// Send the packet to this agent, for this service.
struct route
{
    const base::service_id service;
    const base::generation at;
    const target to;

    bool operator==(const route &) const = default;
};

} // namespace lycheeshunt::routing
