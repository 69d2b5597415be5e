#pragma once

#include "lycheeshunt/replication/log_entry.h"

#include <vector>

namespace lycheeshunt::replication {

// The leader sends entries, or none as a heartbeat.
struct append_request
{
    const std::uint64_t term = 0;
    // Greater for each later message of the same leader; comes back in the answer.
    const std::uint64_t round = 0;
    // The entry before the first one sent; index 0 is before every log.
    const base::generation previousIndex;
    const std::uint64_t previousTerm = 0;
    const base::generation commit;
    const std::vector<log_entry> entries = {};

    bool operator==(const append_request &) const = default;
};

} // namespace lycheeshunt::replication
