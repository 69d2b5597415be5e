#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::replication {

// Replication progress of one other member, as tracked by the leader.
struct peer_progress
{
    // Last index known to be synced by the member and equal to the leader's log.
    base::generation match;
    // First index to send next.
    base::generation next;
    std::uint64_t lastAnsweredRound = 0;
    base::clock_time lastHeard;
    // Whether entries from sentFrom on, or a snapshot piece, were sent at sentAt and not yet
    // answered.
    bool isInFlight = false;
    base::generation sentFrom;
    base::clock_time sentAt;
    std::uint64_t snapshotOffset = 0;

    bool operator==(const peer_progress &) const = default;
};

} // namespace lycheeshunt::replication
