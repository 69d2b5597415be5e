#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/flows/forwarded_packet.h"
#include "lycheeshunt/flows/lookup_purpose.h"

#include <vector>

namespace lycheeshunt::flows {

// Packets of a flow whose owner is being looked up.
struct pending_lookup
{
    const lookup_purpose purpose = lookup_purpose::find;
    const std::vector<forwarded_packet> packets = {};
    const base::clock_time deadline;
    const base::clock_time askAgainAt;
    // Every agent asked so far, and those of them that have not answered.
    const std::vector<base::node_id> asked = {};
    const std::vector<base::node_id> waitingFor = {};
    // Agents whose servers may have the flow although the agents do not know it.
    const std::vector<base::node_id> mayOwn = {};

    bool operator==(const pending_lookup &) const = default;
};

} // namespace lycheeshunt::flows
