#pragma once

#include "lycheeshunt/base/identifiers.h"

#include <string>

namespace lycheeshunt::replication {

// The pieces of a snapshot that have come so far. Another leader's pieces start afresh.
struct incoming_snapshot
{
    std::uint64_t leaderTerm = 0;
    base::generation index;
    std::string bytes;

    bool operator==(const incoming_snapshot &) const = default;
};

} // namespace lycheeshunt::replication
