// Connections are relayed without a fault again.

#pragma once

namespace lycheeshunt::soak {

struct link_clear
{
    bool operator==(const link_clear &) const = default;
};

} // namespace lycheeshunt::soak
