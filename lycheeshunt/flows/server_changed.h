#pragma once

#include "lycheeshunt/base/identifiers.h"

#include <cstdint>

namespace lycheeshunt::flows {

// The current state of this agent's backend server, such as whether it accepts new flows.
struct server_changed
{
    const base::incarnation incarnation;
    const bool isAccepting = false;
    const std::uint32_t slots = 0;
    // The server was running before this agent started.
    const bool isOlder = false;

    bool operator==(const server_changed &) const = default;
};

} // namespace lycheeshunt::flows
