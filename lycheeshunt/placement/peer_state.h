#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/placement/load_report.h"
#include <cstdint>
#include <memory>
#include <string>

namespace lycheeshunt::placement {

// What this agent knows of another. State, not a message: it changes in place.
struct peer_state
{
    base::incarnation life = {};
    std::string zone = {};
    std::shared_ptr<const load_report> report = {};
    base::clock_time heardAt = {};
    // Flows that this agent passed to it since its report.
    std::uint32_t forwardedSinceReport = 0;
    // Times that this agent asked it for work since its report.
    std::uint32_t requestedSinceReport = 0;
};

} // namespace lycheeshunt::placement
