#pragma once

#include "lycheeshunt/base/error.h"
#include "lycheeshunt/replication/entry_kind.h"

namespace lycheeshunt::replication {

// A proposal did not get into the log: notLeader names the leader if one is known.
struct proposal_refused
{
    const entry_kind kind = entry_kind::none;
    const std::uint64_t token = 0;
    const base::error reason;

    bool operator==(const proposal_refused &) const = default;
};

} // namespace lycheeshunt::replication
