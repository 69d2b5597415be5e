#pragma once

#include <string>

namespace lycheeshunt::tickets {

// Takes a service and its addresses away.
struct service_removal
{
    const std::string name;

    bool operator==(const service_removal &) const = default;
};

} // namespace lycheeshunt::tickets
