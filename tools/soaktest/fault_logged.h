// A process wrote a line of level error.

#pragma once

#include <string>

namespace lycheeshunt::soak {

struct fault_logged
{
    std::string process;
    std::string line;

    bool operator==(const fault_logged &) const = default;
};

} // namespace lycheeshunt::soak
