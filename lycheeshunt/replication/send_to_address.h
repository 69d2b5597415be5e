#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/replication/peer_envelope.h"

namespace lycheeshunt::replication {

// Send this to whichever control VM takes streams at the address; its identity may be unknown.
struct send_to_address
{
    const base::endpoint to;
    const peer_envelope envelope;

    bool operator==(const send_to_address &) const = default;
};

} // namespace lycheeshunt::replication
