#pragma once

#include "lycheeshunt/base/clock_time.h"

#include <cstdint>
#include <string>

namespace lycheeshunt::servers {

// The state that a backend server reports of itself. Each start of a server is an incarnation of
// its own, identified by the server's identity and start time.
struct server_announcement
{
    const std::string identity;
    const base::clock_time startedAt;
    // Increases within an incarnation.
    const std::uint64_t sequence = 0;
    const std::string service;
    const bool isDraining = false;
    // Number of requests that the server processes concurrently.
    const std::uint32_t slots = 0;
    // How long the server will still be slow after its start; 0 when it is warm.
    const base::clock_time warmupRemaining = {};

    bool isSameIncarnationAs(const server_announcement &other) const
    {
        return identity == other.identity && startedAt == other.startedAt;
    }

    bool operator==(const server_announcement &) const = default;
};

} // namespace lycheeshunt::servers
