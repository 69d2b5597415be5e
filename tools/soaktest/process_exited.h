// A process ended. `signal` is 0 if it ended with an exit status.

#pragma once

#include <string>

namespace lycheeshunt::soak {

struct process_exited
{
    std::string process;
    bool wasOrdered = false;
    int status = 0;
    int signal = 0;

    bool operator==(const process_exited &) const = default;
};

} // namespace lycheeshunt::soak
