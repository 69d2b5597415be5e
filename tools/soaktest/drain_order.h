// Drains an agent or returns it to service. A drained agent is stopped once its flows have ended.

#pragma once

#include <string>

namespace lycheeshunt::soak {

struct drain_order
{
    std::string agent;
    bool isDraining;

    bool operator==(const drain_order &) const = default;
};

} // namespace lycheeshunt::soak
