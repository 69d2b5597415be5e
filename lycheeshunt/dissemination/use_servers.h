#pragma once

#include "lycheeshunt/base/endpoint.h"

#include <vector>

namespace lycheeshunt::dissemination {

// Look for control at these addresses when the present stream ends.
struct use_servers
{
    const std::vector<base::endpoint> servers = {};
    // The first of them leads. Else the search goes on where it was: VMs that are cut off together
    // would send the node to each other for ever.
    const bool isLeaderFirst = false;

    bool operator==(const use_servers &) const = default;
};

} // namespace lycheeshunt::dissemination
