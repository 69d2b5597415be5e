#pragma once

#include "lycheeshunt/replication/replica_id.h"

#include <cstdint>

namespace lycheeshunt::replication {

// Raft's persistent vote state: the current term and the vote given in it. It must be synced before
// the replica sends any message that depends on it.
struct hard_state
{
    const std::uint64_t term = 0;
    // Node 0 when no vote has been given in this term.
    const replica_id vote = {};

    bool operator==(const hard_state &) const = default;
};

} // namespace lycheeshunt::replication
