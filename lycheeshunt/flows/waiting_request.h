#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/flows/forwarded_packet.h"

#include <vector>

namespace lycheeshunt::flows {

// What a caller has sent of a request that its backend server has not been given yet.
struct waiting_request
{
    // In the order in which they came; a packet that was repeated stands here once.
    const std::vector<forwarded_packet> packets;
    const base::clock_time since;
    // The caller's last packet.
    const base::clock_time lastHeard;

    const base::flow_key &key() const { return packets.front().summary.key; }

    bool operator==(const waiting_request &) const = default;
};

} // namespace lycheeshunt::flows
