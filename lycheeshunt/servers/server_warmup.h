#pragma once

#include "lycheeshunt/base/clock_time.h"

#include <cstdint>

namespace lycheeshunt::servers {

// The server's warm-up by its last announcement. Not part of server_status, since it
// changes with each announcement and concerns this agent alone.
struct server_warmup
{
    // By the agent's clock; 0 when the server is warm.
    const base::clock_time coldUntil;
    // Starts of the server that the agent has seen.
    const std::uint64_t serverStarts = 0;

    bool operator==(const server_warmup &) const = default;
};

} // namespace lycheeshunt::servers
