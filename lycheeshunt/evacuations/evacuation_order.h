#pragma once

#include <string>

namespace lycheeshunt::evacuations {

// Takes an availability zone out of service, or returns it to service.
struct evacuation_order
{
    const std::string zone;
    const bool isEvacuated = false;

    bool operator==(const evacuation_order &) const = default;
};

} // namespace lycheeshunt::evacuations
