#pragma once

#include "lycheeshunt/base/endpoint.h"

#include <cstdint>
#include <string>

namespace lycheeshunt::replication {

// The current leader as known to this control VM.
struct leadership
{
    const std::uint64_t term = 0;
    const bool isLeader = false;
    // Empty while no leader is known.
    const std::string leaderName = {};
    // Address of the leader's operators' API; port 0 while unknown.
    const base::endpoint leaderApi = {};

    // "the leader is control-2, API 192.0.2.9:7480"
    std::string leaderText() const
    {
        const std::string where = leaderApi.port == 0 ? "" : ", API " + leaderApi.text();
        return "the leader is " + leaderName + where;
    }

    bool operator==(const leadership &) const = default;
};

} // namespace lycheeshunt::replication
