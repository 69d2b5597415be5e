#pragma once

#include <cstdint>

namespace lycheeshunt::dissemination {

// What a publisher has sent and received since its start.
struct publisher_counts
{
    std::uint64_t deltas = 0;
    // Deltas to a node whose previous one was not acknowledged in time; part of `deltas`.
    std::uint64_t repeatedDeltas = 0;
    std::uint64_t snapshotPieces = 0;
    // Pieces that had been cut for an earlier request; part of `snapshotPieces`.
    std::uint64_t sharedPieces = 0;
    // Services, members, routes and drains in deltas and pieces.
    std::uint64_t objects = 0;
    std::uint64_t acknowledgements = 0;
    // Acknowledgements of anything but a delta in flight; part of `acknowledgements`.
    std::uint64_t ignoredAcknowledgements = 0;

    bool operator==(const publisher_counts &) const = default;
};

} // namespace lycheeshunt::dissemination
