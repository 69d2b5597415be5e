#pragma once

#include "lycheeshunt/base/identifiers.h"

#include <cstdint>
#include <string>

namespace lycheeshunt::servers {

// What this agent's backend server is now.
struct server_status
{
    const std::string service;
    // Of the agent; greater for each life of the server.
    const base::incarnation life;
    const bool isAccepting = false;
    const std::uint32_t slots = 0;
    // The server was there before this process.
    const bool startedBeforeAgent = false;
    // The server has said that it ends: there is nothing left that this agent would have to serve.
    const bool isServerStopping = false;

    bool operator==(const server_status &) const = default;
};

} // namespace lycheeshunt::servers
