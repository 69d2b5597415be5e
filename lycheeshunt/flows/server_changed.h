#pragma once

#include "lycheeshunt/base/identifiers.h"

#include <cstdint>

namespace lycheeshunt::flows {

// What this agent's backend server is, or that it takes no new flows any more.
struct server_changed
{
    const base::service_id service;
    const base::incarnation incarnation;
    const bool isAccepting = false;
    const std::uint32_t slots = 0;
    // The server was there before the agent.
    const bool isOlder = false;

    bool operator==(const server_changed &) const = default;
};

} // namespace lycheeshunt::flows
