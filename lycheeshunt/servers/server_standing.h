#pragma once

#include "lycheeshunt/base/identifiers.h"

#include <cstdint>
#include <string>

namespace lycheeshunt::servers {

// What this agent's backend server is now.
struct server_standing
{
    const std::string service;
    // Of the agent; greater for each incarnation of the server.
    const base::incarnation incarnation;
    const bool isAccepting = false;
    const std::uint32_t slots = 0;
    // The server was there before this process.
    const bool isOlder = false;
    // The server has said that it ends: there is nothing left that this agent would have to serve.
    const bool hasLeft = false;

    bool operator==(const server_standing &) const = default;
};

} // namespace lycheeshunt::servers
