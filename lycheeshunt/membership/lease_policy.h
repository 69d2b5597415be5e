#pragma once

#include "lycheeshunt/base/clock_time.h"

#include <cstddef>

namespace lycheeshunt::membership {

// The spans by which silence is judged. Members announce themselves once a second.
struct lease_policy
{
    // Counted as quiet in the census, ahead of suspicion.
    const base::clock_time quietAfter = base::clock_time::ofSeconds(2);
    const base::clock_time suspectAfter = base::clock_time::ofSeconds(3);
    const base::clock_time evictAfter = base::clock_time::ofSeconds(12);
    // Used while most of all members are quiet.
    const base::clock_time massSuspectAfter = base::clock_time::ofSeconds(30);
    // Used while many members, or most of the member's availability zone, are quiet.
    const base::clock_time massEvictAfter = base::clock_time::ofSeconds(300);
    // A member with so many lapses is trusted again only after a steady span.
    const std::uint32_t flapLimit = 3;
    const base::clock_time flapHold = base::clock_time::ofSeconds(10);
    const base::clock_time lapseForgiven = base::clock_time::ofSeconds(60);
    // A new agent's share grows by one part after each step.
    const base::clock_time rampStep = base::clock_time::ofSeconds(5);
    // How long the last incarnation of a member that is gone is remembered.
    const base::clock_time departedKept = base::clock_time::ofSeconds(600);
    // All leases are looked at this often.
    const base::clock_time checkEvery = base::clock_time::ofSeconds(1);
    // A proposal that the log could not take is made again after this.
    const base::clock_time proposalRetry = base::clock_time::ofSeconds(1);
    // Changes in one proposal.
    const std::size_t maxBatch = 256;

    bool operator==(const lease_policy &) const = default;
};

} // namespace lycheeshunt::membership
