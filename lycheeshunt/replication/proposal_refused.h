#pragma once

#include "lycheeshunt/base/error.h"
#include "lycheeshunt/replication/entry_kind.h"

namespace lycheeshunt::replication {

// Notice: a proposal was not appended to the log. The detail of notLeader names the current leader.
struct proposal_refused
{
    const entry_kind kind = entry_kind::none;
    const std::uint64_t token = 0;
    const base::error reason;

    bool operator==(const proposal_refused &) const = default;
};

} // namespace lycheeshunt::replication
