#pragma once

#include "lycheeshunt/replication/configuration.h"

#include <string>

namespace lycheeshunt::replication {

// The leader sends a snapshot to a replica that is behind the start of its log.
struct snapshot_piece
{
    const std::uint64_t term = 0;
    const std::uint64_t round = 0;
    const base::generation index;
    const std::uint64_t snapshotTerm = 0;
    const replication::configuration configuration;
    const std::uint64_t totalBytes = 0;
    const std::uint64_t offset = 0;
    const std::string bytes;

    bool operator==(const snapshot_piece &) const = default;
};

} // namespace lycheeshunt::replication
