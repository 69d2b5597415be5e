#pragma once

#include "lycheeshunt/base/endpoint.h"

namespace lycheeshunt::flows {

// Where an agent's packets come from and go to.
struct agent_sockets
{
    // Bound here: from entries and other agents.
    const base::endpoint packets;
    // Bound here: from the backend server.
    const base::endpoint serverSide;
    // The backend server takes caller packets here.
    const base::endpoint server;
    // The fabric takes packets to callers here.
    const base::endpoint fabric;

    bool operator==(const agent_sockets &) const = default;
};

} // namespace lycheeshunt::flows
