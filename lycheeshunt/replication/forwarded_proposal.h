#pragma once

#include "lycheeshunt/replication/proposal.h"

namespace lycheeshunt::replication {

// A proposal that a follower forwards to the leader. Only for proposals that their proposer
// retries, since no outcome is returned.
struct forwarded_proposal
{
    const replication::proposal proposal;

    bool operator==(const forwarded_proposal &) const = default;
};

} // namespace lycheeshunt::replication
