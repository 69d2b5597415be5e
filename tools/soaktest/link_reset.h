// Both ends of every connection get a reset.

#pragma once

namespace lycheeshunt::soak {

struct link_reset
{
    bool operator==(const link_reset &) const = default;
};

} // namespace lycheeshunt::soak
