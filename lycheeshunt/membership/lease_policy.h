#pragma once

#include "lycheeshunt/base/clock_time.h"

#include <cstddef>

namespace lycheeshunt::membership {

// Timeouts by which leases are evaluated. Members announce themselves once per second.
struct lease_policy
{
    // The silence census counts a member as silent before it is suspected.
    const base::clock_time silentAfter = base::clock_time::ofSeconds(2);
    const base::clock_time suspectAfter = base::clock_time::ofSeconds(3);
    const base::clock_time evictAfter = base::clock_time::ofSeconds(12);
    // Replaces suspectAfter while more than half of all members are silent.
    const base::clock_time massSuspectAfter = base::clock_time::ofSeconds(30);
    // Replaces evictAfter while many members, or half of the member's availability zone, are
    // silent.
    const base::clock_time massEvictAfter = base::clock_time::ofSeconds(300);
    // A member with this many flaps stays suspected until it has been stable for flapHoldDown.
    const std::uint32_t flapLimit = 3;
    const base::clock_time flapHoldDown = base::clock_time::ofSeconds(10);
    const base::clock_time flapResetAfter = base::clock_time::ofSeconds(60);
    // A new agent's share of new flows grows by one part per interval.
    const base::clock_time rampInterval = base::clock_time::ofSeconds(5);
    // A node that left and has announced itself for this long since is alive after all. Delayed
    // announcements from before it left arrive in a shorter time.
    const base::clock_time readmitAfter = base::clock_time::ofSeconds(3);
    // How long the last incarnation of a removed member is retained.
    const base::clock_time departedRetention = base::clock_time::ofSeconds(600);
    // Interval of the check of all leases.
    const base::clock_time checkInterval = base::clock_time::ofSeconds(1);
    // A proposal that has not been committed is retried after this interval.
    const base::clock_time proposalRetryInterval = base::clock_time::ofSeconds(1);
    // Maximum number of changes in one proposal.
    const std::size_t maxBatch = 256;

    bool operator==(const lease_policy &) const = default;
};

} // namespace lycheeshunt::membership
