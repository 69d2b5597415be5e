// Takes an availability zone out of service or returns it.

#pragma once

#include <string>

namespace lycheeshunt::soak {

struct zone_order
{
    std::string zone;
    bool isEvacuated;

    bool operator==(const zone_order &) const = default;
};

} // namespace lycheeshunt::soak
