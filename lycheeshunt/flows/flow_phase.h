#pragma once

#include <cstdint>

namespace lycheeshunt::flows {

// How far a flow has come, as its owner sees it.
enum class flow_phase : std::uint8_t {
    opening, // first packet seen, or taken over unseen
    open,
    callerFinished,
    serverFinished,
    ended, // kept for a moment, so that its last packets still reach the backend server
};

} // namespace lycheeshunt::flows
