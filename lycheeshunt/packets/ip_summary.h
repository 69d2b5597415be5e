#pragma once

#include "lycheeshunt/base/flow_key.h"

namespace lycheeshunt::packets {

// What the decisions need to know of one IP packet. The key always names the caller's end first,
// whichever way the packet goes.
struct ip_summary
{
    const base::flow_key key;
    const bool opens = false;
    const bool finishes = false;
    const bool resets = false;
    const std::uint16_t payloadBytes = 0;
    // The caller's opening packet once more, since nobody answered it yet.
    const bool isRepeated = false;
    // A caller's packet that the backend server gave back: it holds no such flow, or takes no new
    // one.
    const bool isReturned = false;
    // Where the payload begins in the sender's sequence, which wraps around.
    const std::uint32_t sequence = 0;

    bool operator==(const ip_summary &) const = default;
};

} // namespace lycheeshunt::packets
