#pragma once

#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::replication {

// A candidate asks for a vote, or whether it would get one (pre-vote, which changes no term).
struct vote_request
{
    const std::uint64_t term = 0;
    const bool isPreVote = false;
    const base::generation lastIndex;
    const std::uint64_t lastTerm = 0;

    bool operator==(const vote_request &) const = default;
};

} // namespace lycheeshunt::replication
