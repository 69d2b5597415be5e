#pragma once

#include "tools/soaktest/observation.h"

#include <string>
#include <vector>

namespace lycheeshunt::soak {

// What a stand-in sends and observes in one step.
struct stand_in_output
{
    std::vector<std::string> packets = {};
    std::vector<observation> observations = {};

    bool operator==(const stand_in_output &) const = default;
};

} // namespace lycheeshunt::soak
