#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/replication/peer_envelope.h"

namespace lycheeshunt::replication {

// Action: send the envelope to the control VM at this stream address, whose identity may be
// unknown.
struct send_to_address
{
    const base::endpoint to;
    const peer_envelope envelope;

    bool operator==(const send_to_address &) const = default;
};

} // namespace lycheeshunt::replication
