#pragma once

#include "lycheeshunt/replication/proposal.h"

namespace lycheeshunt::replication {

// A follower passes a proposal that its proposer repeats by itself to the leader.
struct forwarded_proposal
{
    const replication::proposal proposal;

    bool operator==(const forwarded_proposal &) const = default;
};

} // namespace lycheeshunt::replication
