#pragma once

#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::replication {

// Answers snapshot_piece with the next offset to send. The last piece is answered by append_answer
// instead, once the complete snapshot has been synced.
struct snapshot_answer
{
    const std::uint64_t term = 0;
    const std::uint64_t heartbeatRound = 0;
    const base::generation index;
    const std::uint64_t nextOffset = 0;

    bool operator==(const snapshot_answer &) const = default;
};

} // namespace lycheeshunt::replication
