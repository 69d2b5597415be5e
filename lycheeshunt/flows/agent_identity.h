#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::flows {

// Who this agent is, from its settings and its start.
struct agent_identity
{
    const base::node_id node;
    const base::service_id service;
    const base::incarnation life;
    // Where other agents and entries reach it.
    const base::endpoint packets;
    const std::string availabilityZone = {};
    // The backend server gives back packets of flows that it does not hold, so a packet may be
    // tried at any server without harm.
    const bool serverReturnsPackets = false;

    bool operator==(const agent_identity &) const = default;
};

} // namespace lycheeshunt::flows
