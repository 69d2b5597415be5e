#pragma once

#include "lycheeshunt/replication/peer_message.h"
#include "lycheeshunt/replication/replica_id.h"

namespace lycheeshunt::replication {

// A message with its sender and receiver. A replica ignores messages for another disk than its own;
// only presence messages may leave the receiver's storage at 0.
struct peer_envelope
{
    const replica_id from;
    const replica_id to;
    const peer_message message;

    bool operator==(const peer_envelope &) const = default;
};

} // namespace lycheeshunt::replication
