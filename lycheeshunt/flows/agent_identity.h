#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/base/identifiers.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lycheeshunt::flows {

// This agent's identity, taken from its settings when it starts.
struct agent_identity
{
    const base::node_id node;
    const base::service_id service;
    const base::incarnation incarnation;
    // The address at which it receives packets from entries and other agents.
    const base::endpoint packets;
    const std::string availabilityZone = {};
    // Whether the backend server returns packets of flows that it does not have. If so, a packet
    // can be delivered to any server of the service without harm.
    const bool serverReturnsPackets = false;
    // Opening packets that a cold server gets beyond the rate of its service; empty: no limit.
    const std::optional<std::uint32_t> warmupSlack = {};
    // Whether load reports contain the time that the backend server takes for a request.
    const bool reportsSpeed = false;
    // Whether load reports say that the server fails most requests.
    const bool reportsFailures = false;

    bool operator==(const agent_identity &) const = default;
};

} // namespace lycheeshunt::flows
