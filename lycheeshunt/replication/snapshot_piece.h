#pragma once

#include "lycheeshunt/replication/configuration.h"

#include <string>

namespace lycheeshunt::replication {

// Part of a snapshot. The leader sends one to a replica that needs entries which the leader's log
// no longer holds.
struct snapshot_piece
{
    const std::uint64_t term = 0;
    const std::uint64_t heartbeatRound = 0;
    const base::generation index;
    const std::uint64_t snapshotTerm = 0;
    const replication::configuration configuration;
    const std::uint64_t totalBytes = 0;
    const std::uint64_t offset = 0;
    const std::string bytes;

    bool operator==(const snapshot_piece &) const = default;
};

} // namespace lycheeshunt::replication
