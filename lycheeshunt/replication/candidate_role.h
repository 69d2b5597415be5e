#pragma once

#include "lycheeshunt/base/identifiers.h"

#include <set>

namespace lycheeshunt::replication {

// Collects votes, or pre-votes before it raises its term.
struct candidate_role
{
    bool isPreVote = true;
    std::set<base::node_id> granted;

    bool operator==(const candidate_role &) const = default;
};

} // namespace lycheeshunt::replication
