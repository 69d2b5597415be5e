#pragma once

#include "lycheeshunt/base/endpoint.h"

namespace lycheeshunt::flows {

// The addresses between which an agent sends and receives packets.
struct agent_sockets
{
    // Bound by the agent: receives from entries and other agents.
    const base::endpoint packets;
    // Bound by the agent: receives from the backend server.
    const base::endpoint serverSide;
    // The backend server receives callers' packets here.
    const base::endpoint server;
    // The fabric receives packets to callers here.
    const base::endpoint fabric;

    bool operator==(const agent_sockets &) const = default;
};

} // namespace lycheeshunt::flows
