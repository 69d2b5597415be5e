#pragma once

#include "lycheeshunt/base/endpoint.h"

#include <vector>

namespace lycheeshunt::dissemination {

// Addresses at which the control VMs accept streams. Nodes connect to the leader.
struct control_directory
{
    // Port 0 while no leader is known.
    const base::endpoint leader = {};
    const std::vector<base::endpoint> members = {};

    // All addresses, the leader first.
    std::vector<base::endpoint> leaderFirst() const
    {
        std::vector<base::endpoint> ordered;
        if (leader.port != 0)
            ordered.push_back(leader);
        for (const base::endpoint &member : members) {
            if (member != leader)
                ordered.push_back(member);
        }
        return ordered;
    }

    bool operator==(const control_directory &) const = default;
};

} // namespace lycheeshunt::dissemination
