#pragma once

#include <cstddef>

namespace lycheeshunt::replication {

// Sizes that keep memory and messages bounded.
struct replica_bounds
{
    const std::size_t uncommittedEntries = 4096;
    const std::size_t appendBytes = 512 * 1024;
    const std::size_t appendEntries = 1024;
    const std::size_t payloadBytes = 1024 * 1024;
    const std::size_t pieceBytes = 256 * 1024;
    const std::size_t pendingReads = 256;
    // Applied entries beyond this many are folded into a snapshot.
    const std::size_t compactAfter = 10'000;
    // So are entries whose payloads amount to this many bytes.
    const std::size_t compactAfterBytes = 256 * 1024;

    bool operator==(const replica_bounds &) const = default;
};

} // namespace lycheeshunt::replication
