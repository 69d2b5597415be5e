#pragma once

#include "lycheeshunt/base/endpoint.h"

#include <vector>

namespace lycheeshunt::dissemination {

// Connect to control at these addresses when the current stream closes.
struct use_servers
{
    const std::vector<base::endpoint> servers = {};
    // The first address is the leader. Otherwise the search continues at its current position, as
    // control VMs in one network partition would redirect the node to each other forever.
    const bool isLeaderFirst = false;

    bool operator==(const use_servers &) const = default;
};

} // namespace lycheeshunt::dissemination
