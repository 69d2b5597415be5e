#pragma once

#include <string>

namespace lycheeshunt::soak {

struct backend_place
{
    std::string service;
    std::string zone;

    bool operator==(const backend_place &) const = default;
};

} // namespace lycheeshunt::soak
