#pragma once

#include "lycheeshunt/base/clock_time.h"
#include <cstddef>

namespace lycheeshunt::placement {

// Parameters of placement.
struct placement_rules
{
    // Maximum number of agents that are offered a flow, including the director.
    const std::size_t maxOffers = 5;
    // Maximum number of peers of an agent; in a larger service, each agent exchanges reports only
    // with its neighbours.
    const std::size_t maxPeers = 16;
    // An agent forwards an offer only if the other agent's rank is better by more than this.
    const double forwardMargin = 0.05;
    // Weight of open flows relative to busy slots.
    const double flowWeight = 0.15;
    // Upper limit of the weight of open flows, in slots: less than one, so that they only break
    // near ties.
    const double flowSlots = 0.5;
    // Whether a full agent forwards an offer even if all other agents seem full.
    const bool probesWhenFull = true;
    // Whether an agent with a free slot requests queued work from other agents.
    const bool requestsWork = true;
    // Bonus for agents in the availability zone of the agent that decides.
    const double zoneWeight = 0.001;
    // A silent agent counts with the average load after this; only membership removes it.
    const base::clock_time suspectAfter = base::clock_time::ofMillis(1000);
    // If not zero, a silent agent is no longer a candidate after this.
    const base::clock_time evictAfter = {};
    // Budget for load reports and requests for work, in bytes per second.
    const double reportBytesPerSecond = 2000;

    bool operator==(const placement_rules &) const = default;
};

} // namespace lycheeshunt::placement
