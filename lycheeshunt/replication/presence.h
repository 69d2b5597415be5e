#pragma once

#include "lycheeshunt/base/endpoint.h"

#include <string>
#include <vector>

namespace lycheeshunt::replication {

// A control VM says that it is there. While none of them is formed, this lets the first
// configuration be founded; later it tells the leader of an empty disk under a known name.
struct presence
{
    // Whether the sender's disk holds a configuration.
    const bool isFormed = false;
    const base::endpoint api = {};
    const std::string name = {};
    const base::endpoint streams = {};
    // Other control VMs that the sender knows to be members or has heard itself.
    const std::vector<base::endpoint> contacts = {};

    bool operator==(const presence &) const = default;
};

} // namespace lycheeshunt::replication
