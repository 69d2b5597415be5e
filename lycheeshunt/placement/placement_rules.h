#pragma once

#include "lycheeshunt/base/clock_time.h"
#include <cstddef>

namespace lycheeshunt::placement {

// What may be varied; the defaults are what measurements chose.
struct placement_rules
{
    // Agents that a flow is offered to at most, the director included.
    const std::size_t maxOffers = 5;
    // Agents that an agent hears from; in a larger service each has neighbours of its own.
    const std::size_t maxPeers = 16;
    // An agent that is told of a flow passes it on only to one better by more than this.
    const double forwardMargin = 0.05;
    // Weight of open flows against busy slots.
    const double flowWeight = 0.15;
    // Most that flows may weigh, in slots: less than one, so that they only break near ties.
    const double flowSlots = 0.5;
    // Whether a full agent offers a flow on though all others seem full.
    const bool probesWhenFull = true;
    // Whether an agent with a free slot asks others for work that waits there.
    const bool requestsWork = true;
    // Advantage of the caller's own availability zone.
    const double zoneWeight = 0.001;
    // A silent agent counts as average after this; it is dropped only when membership says so.
    const base::clock_time suspectAfter = base::clock_time::ofMillis(1000);
    // If not zero, a silent agent is no candidate after this.
    const base::clock_time evictAfter = {};
    // Control bytes a second for load reports.
    const double reportBytesPerSecond = 2000;

    bool operator==(const placement_rules &) const = default;
};

} // namespace lycheeshunt::placement
