#pragma once

#include "lycheeshunt/base/clock_time.h"

namespace lycheeshunt::replication {

// Intervals and timeouts between control VMs.
struct replica_timing
{
    const base::clock_time heartbeatInterval = base::clock_time::ofMillis(150);
    // Range of the randomized election timeout. A leader that has not heard from a quorum for
    // electionMin steps down.
    const base::clock_time electionMin = base::clock_time::ofMillis(750);
    const base::clock_time electionMax = base::clock_time::ofMillis(1500);
    // Shorter election timeouts of a VM that has started within firstElectionPeriod and has not
    // heard from a leader. They are safe: when all VMs have just started there is no leader to
    // disturb, and when there is one, the others refuse the pre-vote.
    const base::clock_time firstElectionMin = base::clock_time::ofMillis(50);
    const base::clock_time firstElectionMax = base::clock_time::ofMillis(400);
    const base::clock_time firstElectionPeriod = base::clock_time::ofSeconds(5);
    // Range of its election timeout once it has heard from a quorum. The range spans several times
    // the round trip of a vote including its sync to disk, so that candidates seldom split the
    // vote.
    const base::clock_time quorumReachableMin = base::clock_time::ofMillis(10);
    const base::clock_time quorumReachableMax = base::clock_time::ofMillis(100);
    // Entries or a snapshot piece that have not been answered are retransmitted after this.
    const base::clock_time retransmitTimeout = base::clock_time::ofMillis(600);
    const base::clock_time presenceInterval = base::clock_time::ofMillis(500);
    // Interval of a VM that has just started and has not heard from a leader: its first messages
    // may be sent before its streams are open.
    const base::clock_time firstPresenceInterval = base::clock_time::ofMillis(100);
    // A presence message is ignored once it is older than this.
    const base::clock_time presenceTimeout = base::clock_time::ofMillis(2000);

    // In an open group, a member that has been silent for longer is removed. It may be shorter than
    // a restart takes, since the member joins again when it is back.
    const base::clock_time removalTimeout = base::clock_time::ofMillis(3000);

    bool operator==(const replica_timing &) const = default;
};

} // namespace lycheeshunt::replication
