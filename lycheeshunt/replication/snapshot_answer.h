#pragma once

#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::replication {

// Answers snapshot_piece: which byte is wanted next. A whole snapshot is answered, once it is
// synced, by append_answer instead.
struct snapshot_answer
{
    const std::uint64_t term = 0;
    const std::uint64_t round = 0;
    const base::generation index;
    const std::uint64_t nextOffset = 0;

    bool operator==(const snapshot_answer &) const = default;
};

} // namespace lycheeshunt::replication
