#pragma once

#include "lycheeshunt/tickets/route_share.h"

#include <vector>

namespace lycheeshunt::routing {

// How an address splits its new flows over services, and where the hash of one flow falls.
struct flow_split
{
    const std::vector<tickets::route_share> shares;
    const std::uint64_t totalWeight = 1;
    // Below totalWeight. Each service has as many positions as its weight, in the order of shares.
    const std::uint64_t position = 0;

    bool operator==(const flow_split &) const = default;
};

} // namespace lycheeshunt::routing
