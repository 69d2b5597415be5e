#pragma once

#include <cstdint>

namespace lycheeshunt::replication {

// Answers vote_request.
struct vote_answer
{
    // Term of the voter.
    const std::uint64_t term = 0;
    const std::uint64_t requestTerm = 0;
    const bool isPreVote = false;
    const bool isGranted = false;

    bool operator==(const vote_answer &) const = default;
};

} // namespace lycheeshunt::replication
