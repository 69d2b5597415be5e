#pragma once

#include "lycheeshunt/base/identifiers.h"

#include <string>

namespace lycheeshunt::replication {

// The committed entries up to the index have been compacted into a snapshot.
struct snapshot_taken
{
    const base::generation index;
    const std::string entries;

    bool operator==(const snapshot_taken &) const = default;
};

} // namespace lycheeshunt::replication
