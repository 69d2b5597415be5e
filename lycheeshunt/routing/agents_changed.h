#pragma once

#include "lycheeshunt/routing/target.h"

#include <vector>

namespace lycheeshunt::routing {

// The agents that the entry's newest routing table may send packets to.
struct agents_changed
{
    const std::vector<target> agents;

    bool operator==(const agents_changed &) const = default;
};

} // namespace lycheeshunt::routing
