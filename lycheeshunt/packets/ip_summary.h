#pragma once

#include "lycheeshunt/base/flow_key.h"

namespace lycheeshunt::packets {

// The properties of an IP packet that decisions use. The key always contains the caller's endpoint
// first, whatever the packet's direction.
struct ip_summary
{
    const base::flow_key key;
    const bool opens = false;
    const bool finishes = false;
    const bool resets = false;
    const std::uint16_t payloadBytes = 0;
    // A retransmission of the caller's opening packet, which has not been answered yet.
    const bool isRepeated = false;
    // A caller's packet that the backend server returned, because it does not hold the flow or does
    // not accept a new one.
    const bool isReturned = false;
    // Sequence number of the payload's first byte in the sender's stream; wraps around.
    const std::uint32_t sequence = 0;

    bool operator==(const ip_summary &) const = default;
};

} // namespace lycheeshunt::packets
