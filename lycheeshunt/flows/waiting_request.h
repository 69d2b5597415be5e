#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/flows/forwarded_packet.h"

#include <vector>

namespace lycheeshunt::flows {

// A request that is queued at the agent: the packets of its caller so far.
struct waiting_request
{
    // In the order of arrival, without retransmissions.
    const std::vector<forwarded_packet> packets;
    const base::clock_time since;
    // Time of the caller's last packet.
    const base::clock_time lastHeard;

    const base::flow_key &key() const { return packets.front().summary.key; }

    const request_class &requestClass() const { return packets.front().requestClass; }
    std::uint8_t priority() const { return requestClass().priority; }

    bool operator==(const waiting_request &) const = default;
};

} // namespace lycheeshunt::flows
