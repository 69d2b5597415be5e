#pragma once

#include "tools/soaktest/violation.h"

#include <vector>

namespace lycheeshunt::soak {

struct soak_result
{
    // Why the run could not be done; empty if it was.
    std::string obstacle = {};
    std::vector<violation> violations = {};
    std::uint64_t answers = 0;
    // See check_state.
    std::uint64_t announcedResets = 0;
    // What was done and seen, one line each, with the time since the start of the fault phase.
    std::vector<std::string> timeline = {};
    // Logs and settings of the processes; kept after a run with a violation.
    std::string folder = {};

    bool operator==(const soak_result &) const = default;
};

} // namespace lycheeshunt::soak
