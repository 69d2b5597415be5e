#pragma once

#include "lycheeshunt/base/identifiers.h"

#include <set>

namespace lycheeshunt::replication {

// Campaigning: collects pre-votes, then increments the term and collects votes.
struct candidate_role
{
    bool isPreVote = true;
    std::set<base::node_id> granted;

    bool operator==(const candidate_role &) const = default;
};

} // namespace lycheeshunt::replication
