#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::replication {

// Action: use this address for further messages to the control VM.
struct set_peer_address
{
    const base::node_id node;
    const base::endpoint streams;

    bool operator==(const set_peer_address &) const = default;
};

} // namespace lycheeshunt::replication
