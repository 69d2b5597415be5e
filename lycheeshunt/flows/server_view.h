#pragma once

#include "lycheeshunt/base/clock_time.h"

#include <cstdint>

namespace lycheeshunt::flows {

// What an agent knows of its backend server. State: it changes in place.
struct server_view
{
    // The server has announced itself and does not drain.
    bool isAccepting = false;
    // It was there before this agent started, so it may hold flows that the agent never saw.
    bool isOlder = true;
    std::uint32_t slots = 0;
    base::clock_time lastHeard;
    // Until then it gets no new flows, since it left one unanswered.
    base::clock_time silentUntil;
};

} // namespace lycheeshunt::flows
