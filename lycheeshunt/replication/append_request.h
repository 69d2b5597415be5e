#pragma once

#include "lycheeshunt/replication/log_entry.h"

#include <vector>

namespace lycheeshunt::replication {

// Log entries from the leader; without entries it is a heartbeat.
struct append_request
{
    const std::uint64_t term = 0;
    // Heartbeat round of the leader in which this was sent; returned in the answer. Never decreases
    // during one leader's term.
    const std::uint64_t heartbeatRound = 0;
    // Entry that immediately precedes `entries`; 0 stands for the position before the first entry.
    const base::generation previousIndex;
    const std::uint64_t previousTerm = 0;
    const base::generation commit;
    const std::vector<log_entry> entries = {};

    bool operator==(const append_request &) const = default;
};

} // namespace lycheeshunt::replication
