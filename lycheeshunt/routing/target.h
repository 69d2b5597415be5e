#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::routing {

// An agent that packets may be sent to, and the incarnation of it that they are meant for.
struct target
{
    const base::node_id node;
    const base::incarnation incarnation;
    const base::endpoint packets;
    // Relative share of the buckets among the targets of the service; at least 1.
    const std::uint32_t weight = 1;

    bool operator==(const target &) const = default;
};

} // namespace lycheeshunt::routing
