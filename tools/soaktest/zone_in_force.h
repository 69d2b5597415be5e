// Every VM has the order to evacuate a zone.

#pragma once

#include <string>

namespace lycheeshunt::soak {

struct zone_in_force
{
    std::string zone;

    bool operator==(const zone_in_force &) const = default;
};

} // namespace lycheeshunt::soak
