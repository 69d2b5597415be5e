#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/placement/load_report.h"
#include <cstdint>
#include <memory>
#include <string>

namespace lycheeshunt::placement {

// What this agent knows of another. State, not a message: it changes in place.
struct known_peer
{
    base::incarnation incarnation = {};
    std::string zone = {};
    std::shared_ptr<const load_report> report = {};
    base::clock_time lastHeard = {};
    // Flows that this agent passed to it since its report.
    std::uint32_t passedSince = 0;
    // Times that this agent asked it for work since its report.
    std::uint32_t askedSince = 0;
};

} // namespace lycheeshunt::placement
