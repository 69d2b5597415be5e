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
    // Until then it gets no new flows, since it gave one back.
    base::clock_time refusesUntil;
    // It left an opening packet unanswered and has sent nothing since. Until then it gets no new
    // flows; afterwards one at a time.
    bool isSilent = false;
    base::clock_time silentUntil;
};

} // namespace lycheeshunt::flows
