#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/flows/forwarded_packet.h"
#include "lycheeshunt/flows/lookup_purpose.h"

#include <vector>

namespace lycheeshunt::flows {

// A flow whose owner is being looked up, and its buffered packets.
struct pending_lookup
{
    const lookup_purpose purpose = lookup_purpose::find;
    const std::vector<forwarded_packet> packets = {};
    const base::clock_time deadline;
    const base::clock_time nextQueryAt;
    // Every agent that was sent a query, and those of them that have not answered.
    const std::vector<base::node_id> queried = {};
    const std::vector<base::node_id> unanswered = {};
    // Agents that do not know the flow but whose backend servers may have it.
    const std::vector<base::node_id> mayOwn = {};

    bool operator==(const pending_lookup &) const = default;
};

} // namespace lycheeshunt::flows
