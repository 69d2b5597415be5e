#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/placement/load_report.h"
#include <cstdint>
#include <memory>
#include <string>

namespace lycheeshunt::placement {

// The last known load of another agent. State, not a message: it changes in place.
struct peer_state
{
    base::incarnation incarnation = {};
    std::string zone = {};
    std::shared_ptr<const load_report> report = {};
    base::clock_time lastHeard = {};
    // Offers that this agent has forwarded to the peer since the peer's last report.
    std::uint32_t forwardedSinceReport = 0;
    // Requests for work that this agent has sent to the peer since the peer's last report.
    std::uint32_t requestedSinceReport = 0;
};

} // namespace lycheeshunt::placement
