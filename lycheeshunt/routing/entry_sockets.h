#pragma once

#include "lycheeshunt/base/endpoint.h"

#include <optional>

namespace lycheeshunt::routing {

// Where an entry's packets come from and go to.
struct entry_sockets
{
    // Bound here: callers' packets from the fabric.
    const base::endpoint packets;
    // Bound here, when given: what agents say about flows.
    const std::optional<base::endpoint> hints = {};
    // The fabric takes packets to callers here; without it callers are never answered.
    const std::optional<base::endpoint> fabric = {};

    bool operator==(const entry_sockets &) const = default;
};

} // namespace lycheeshunt::routing
