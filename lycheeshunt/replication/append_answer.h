#pragma once

#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::replication {

// Answers append_request after the entries are synced.
struct append_answer
{
    const std::uint64_t term = 0;
    const std::uint64_t round = 0;
    const bool isMatch = false;
    // With a match: the last index known to equal the leader's. Without: where to try next.
    const base::generation index;

    bool operator==(const append_answer &) const = default;
};

} // namespace lycheeshunt::replication
