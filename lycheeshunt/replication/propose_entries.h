#pragma once

#include "lycheeshunt/replication/proposal.h"

#include <vector>

namespace lycheeshunt::replication {

// Proposals that came together; they are synced together.
struct propose_entries
{
    const std::vector<proposal> proposals = {};

    bool operator==(const propose_entries &) const = default;
};

} // namespace lycheeshunt::replication
