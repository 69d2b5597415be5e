#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::replication {

// How far the leader has come with one other member.
struct peer_progress
{
    // Synced there and equal to the leader's log.
    base::generation match;
    base::generation next;
    std::uint64_t roundAnswered = 0;
    base::clock_time lastHeard;
    // Entries from sentFrom on, or a snapshot piece, are under way since sentAt.
    bool isInFlight = false;
    base::generation sentFrom;
    base::clock_time sentAt;
    std::uint64_t snapshotOffset = 0;

    bool operator==(const peer_progress &) const = default;
};

} // namespace lycheeshunt::replication
