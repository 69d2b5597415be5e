#pragma once

#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::replication {

// A candidate requests a vote, or a pre-vote: whether the vote would be granted. A pre-vote changes
// no term.
struct vote_request
{
    const std::uint64_t term = 0;
    const bool isPreVote = false;
    const base::generation lastIndex;
    const std::uint64_t lastTerm = 0;

    bool operator==(const vote_request &) const = default;
};

} // namespace lycheeshunt::replication
