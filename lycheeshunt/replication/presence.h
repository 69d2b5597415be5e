#pragma once

#include "lycheeshunt/base/endpoint.h"

#include <string>
#include <vector>

namespace lycheeshunt::replication {

// Periodic announcement of a control VM to the others. Before a group exists, it lets the bootstrap
// VM see that all others are up and have empty disks; later it lets the leader detect new control
// VMs and members that returned with an empty disk.
struct presence
{
    // Whether the sender's disk holds a configuration.
    const bool isFormed = false;
    const base::endpoint api = {};
    const std::string name = {};
    const base::endpoint streams = {};
    // Other control VMs that are members or that the sender has heard from recently.
    const std::vector<base::endpoint> contacts = {};

    bool operator==(const presence &) const = default;
};

} // namespace lycheeshunt::replication
