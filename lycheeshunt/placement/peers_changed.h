#pragma once

#include "lycheeshunt/placement/peer.h"
#include <vector>

namespace lycheeshunt::placement {

// The agents of the service, this one included.
struct peers_changed
{
    const std::vector<peer> peers = {};

    bool operator==(const peers_changed &) const = default;
};

} // namespace lycheeshunt::placement
