#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/base/identifiers.h"

#include <vector>

namespace lycheeshunt::flows {

// What an agent knows of its search for a flow, kept between the flow's packets: a server that has
// returned one packet of the flow gets no other one.
struct flow_search
{
    const base::clock_time startedAt;
    const base::clock_time lastUsed;
    // Agents that know nothing of the flow and whose servers do not have it.
    const std::vector<base::node_id> excluded = {};
    // Agents whose servers are being tried, in turn, and since when.
    const std::vector<base::node_id> onTrial = {};
    const base::clock_time trialAt = {};
    // Trials that did not come to their end.
    const std::uint32_t lostTrials = 0;
    // A server that was tried did not answer, or the way of the packet is not known.
    const bool isDoubtful = false;

    bool operator==(const flow_search &) const = default;
};

} // namespace lycheeshunt::flows
