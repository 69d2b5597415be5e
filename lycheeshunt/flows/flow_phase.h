#pragma once

#include <cstdint>

namespace lycheeshunt::flows {

// The phase of the connection, as its owner observes it.
enum class flow_phase : std::uint8_t {
    opening, // the first packet was seen, or the flow was adopted without it
    copied, // opened here by a copy of its opening packet, perhaps also elsewhere before
    tried, // a packet was delivered to a backend server that may return it
    open,
    callerFinished,
    serverFinished,
    ended, // kept for a short time, so that the last packets still reach the backend server
};

} // namespace lycheeshunt::flows
