#pragma once

#include "lycheeshunt/replication/configuration.h"

#include <memory>
#include <string>

namespace lycheeshunt::replication {

// Compacted form of the log up to and including `index`.
struct snapshot
{
    const base::generation index;
    const std::uint64_t term = 0;
    const replication::configuration configuration;
    // The entries that remain after compaction, encoded by encodeEntries().
    const std::string entries;

    bool operator==(const snapshot &) const = default;
};

using shared_snapshot = std::shared_ptr<const snapshot>;

} // namespace lycheeshunt::replication
