#pragma once

#include <string>

namespace lycheeshunt::tickets {

// Removes a service and its addresses.
struct service_removal
{
    const std::string name;

    bool operator==(const service_removal &) const = default;
};

} // namespace lycheeshunt::tickets
