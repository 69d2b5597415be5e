#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::replication {

// Messages for this control VM go to this address from now on.
struct set_peer_address
{
    const base::node_id node;
    const base::endpoint streams;

    bool operator==(const set_peer_address &) const = default;
};

} // namespace lycheeshunt::replication
