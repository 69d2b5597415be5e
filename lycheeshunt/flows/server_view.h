#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/flows/opening_tokens.h"

#include <cstdint>

namespace lycheeshunt::flows {

// An agent's view of its backend server. Mutable, as part of flow_state.
struct server_view
{
    // The server has announced itself and is not draining.
    bool isAccepting = false;
    // The server was running before this agent started, so it may have flows that the agent has not
    // seen.
    bool isOlder = true;
    std::uint32_t slots = 0;
    base::clock_time lastHeard;
    // The server gets no new flows until then, because it has returned an opening packet.
    base::clock_time refusesUntil;
    // The server did not answer an opening packet and has sent nothing since. Until silentUntil it
    // gets no new flows, afterwards one at a time.
    bool isSilent = false;
    base::clock_time silentUntil;
    opening_tokens openings;
};

} // namespace lycheeshunt::flows
