#pragma once

#include "lycheeshunt/base/endpoint.h"

namespace lycheeshunt::tickets {

// Where callers reach a service. The protocol is the IP protocol number (6 is TCP).
struct service_address
{
    const base::endpoint where;
    const std::uint8_t protocol = 6;

    bool operator==(const service_address &) const = default;
    std::strong_ordering operator<=>(const service_address &) const = default;
};

} // namespace lycheeshunt::tickets
