// An operator is about to return a zone to service.

#pragma once

#include <string>

namespace lycheeshunt::soak {

struct zone_withdrawn
{
    std::string zone;

    bool operator==(const zone_withdrawn &) const = default;
};

} // namespace lycheeshunt::soak
