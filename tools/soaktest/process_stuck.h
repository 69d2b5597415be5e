// A process did not end within the time limit after SIGTERM.

#pragma once

#include <string>

namespace lycheeshunt::soak {

struct process_stuck
{
    std::string process;

    bool operator==(const process_stuck &) const = default;
};

} // namespace lycheeshunt::soak
