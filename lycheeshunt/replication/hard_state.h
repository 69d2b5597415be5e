#pragma once

#include "lycheeshunt/replication/replica_id.h"

#include <cstdint>

namespace lycheeshunt::replication {

// What a replica must have synced before it answers: its term and whom it voted for in it.
struct hard_state
{
    const std::uint64_t term = 0;
    // Node 0 while no vote was given.
    const replica_id vote = {};

    bool operator==(const hard_state &) const = default;
};

} // namespace lycheeshunt::replication
