#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/replication/entry_kind.h"

#include <string>

namespace lycheeshunt::replication {

// Request of a duty to append its payload to the log.
struct proposal
{
    const entry_kind kind = entry_kind::none;
    const std::string payload;
    // Opaque to replication; returned to the proposer with a refusal.
    const std::uint64_t token = 0;
    // Wall-clock time; informational, no decision depends on it.
    const base::clock_time proposedAt = {};

    bool operator==(const proposal &) const = default;
};

} // namespace lycheeshunt::replication
