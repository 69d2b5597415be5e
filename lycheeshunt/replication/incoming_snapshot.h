#pragma once

#include "lycheeshunt/base/identifiers.h"

#include <string>

namespace lycheeshunt::replication {

// Snapshot under reception. It is discarded when pieces of another leader's term or of another
// snapshot arrive.
struct incoming_snapshot
{
    std::uint64_t leaderTerm = 0;
    base::generation index;
    std::string bytes;

    bool operator==(const incoming_snapshot &) const = default;
};

} // namespace lycheeshunt::replication
