#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::routing {

// An agent that packets may be sent to, and the life of it that they are meant for.
struct target
{
    const base::node_id node;
    const base::incarnation life;
    const base::endpoint packets;

    bool operator==(const target &) const = default;
};

} // namespace lycheeshunt::routing
