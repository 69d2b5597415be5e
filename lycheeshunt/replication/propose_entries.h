#pragma once

#include "lycheeshunt/replication/proposal.h"

#include <vector>

namespace lycheeshunt::replication {

// A batch of proposals that is written to disk with one sync.
struct propose_entries
{
    const std::vector<proposal> proposals = {};

    bool operator==(const propose_entries &) const = default;
};

} // namespace lycheeshunt::replication
