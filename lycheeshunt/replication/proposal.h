#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/replication/entry_kind.h"

#include <string>

namespace lycheeshunt::replication {

// A duty asks for its payload to become a log entry.
struct proposal
{
    const entry_kind kind = entry_kind::none;
    const std::string payload;
    // Given back with a refusal; its meaning is the proposer's.
    const std::uint64_t token = 0;
    // Wall clock, for people only.
    const base::clock_time proposedAt = {};

    bool operator==(const proposal &) const = default;
};

} // namespace lycheeshunt::replication
