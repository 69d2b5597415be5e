#pragma once

#include "lycheeshunt/base/clock_time.h"

namespace lycheeshunt::replication {

// When silence between control VMs is acted on.
struct replica_timing
{
    const base::clock_time heartbeatEvery = base::clock_time::ofMillis(150);
    // An election timeout is drawn between these two at each start of the timer. A leader that has
    // not heard from a quorum for the shorter one steps down.
    const base::clock_time electionMin = base::clock_time::ofMillis(750);
    const base::clock_time electionMax = base::clock_time::ofMillis(1500);
    // The timeouts of a VM that has just started and heard of no leader are shorter: where all
    // have, nobody leads, and where somebody does, the others refuse the pre-vote.
    const base::clock_time firstElectionMin = base::clock_time::ofMillis(50);
    const base::clock_time firstElectionMax = base::clock_time::ofMillis(400);
    const base::clock_time firstElectionsFor = base::clock_time::ofSeconds(5);
    // Such a VM waits no longer than this once it has heard from a quorum. The spread is several
    // times a vote's way and its sync to disk.
    const base::clock_time quorumSeenMin = base::clock_time::ofMillis(10);
    const base::clock_time quorumSeenMax = base::clock_time::ofMillis(100);
    // Entries or a snapshot piece without an answer are sent again after this.
    const base::clock_time resendAfter = base::clock_time::ofMillis(600);
    const base::clock_time presenceEvery = base::clock_time::ofMillis(500);
    // Presence older than this counts for nothing.
    const base::clock_time presenceValid = base::clock_time::ofMillis(2000);

    // In a group that finds its members itself, a member that is silent for longer is let go. It
    // joins again when it is back, so that this may be shorter than a restart.
    const base::clock_time removeAfter = base::clock_time::ofMillis(3000);

    bool operator==(const replica_timing &) const = default;
};

} // namespace lycheeshunt::replication
