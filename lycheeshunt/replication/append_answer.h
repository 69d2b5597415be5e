#pragma once

#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::replication {

// Answers append_request, once the entries have been synced to disk.
struct append_answer
{
    const std::uint64_t term = 0;
    // Copied from a request of the term above; 0 for one of an earlier term.
    const std::uint64_t heartbeatRound = 0;
    const bool isMatch = false;
    // On a match, the last index at which this log is known to equal the leader's; otherwise the
    // index from which the leader should try next.
    const base::generation index;

    bool operator==(const append_answer &) const = default;
};

} // namespace lycheeshunt::replication
