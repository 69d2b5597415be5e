#pragma once

#include <cstddef>

namespace lycheeshunt::replication {

// Limits on memory use and message sizes.
struct replica_bounds
{
    const std::size_t uncommittedEntries = 4096;
    const std::size_t appendBytes = 512 * 1024;
    const std::size_t appendEntries = 1024;
    const std::size_t payloadBytes = 1024 * 1024;
    const std::size_t snapshotPieceBytes = 256 * 1024;
    const std::size_t pendingReads = 256;
    // A snapshot is taken when this many entries have been committed since the last one,
    const std::size_t compactAfterEntries = 10'000;
    // or when their payloads have reached this size.
    const std::size_t compactAfterBytes = 256 * 1024;

    bool operator==(const replica_bounds &) const = default;
};

} // namespace lycheeshunt::replication
