#pragma once

#include "lycheeshunt/base/identifiers.h"

#include <cstdint>

namespace lycheeshunt::servers {

// The current status of an agent's backend server.
struct server_status
{
    // Of the agent; greater for each incarnation of the server.
    const base::incarnation incarnation;
    const bool isAccepting = false;
    const std::uint32_t slots = 0;
    // The server started before the agent's process.
    const bool startedBeforeAgent = false;
    // The server has announced its exit: the agent has nothing left to serve.
    const bool isServerStopping = false;

    bool operator==(const server_status &) const = default;
};

} // namespace lycheeshunt::servers
