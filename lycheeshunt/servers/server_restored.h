#pragma once

#include "lycheeshunt/base/identifiers.h"

#include <cstdint>

namespace lycheeshunt::servers {

// The view contains an earlier incarnation of this agent whose backend server was serving.
struct server_restored
{
    // The agent's earlier incarnation.
    const base::incarnation incarnation;
    const std::uint32_t slots = 0;

    bool operator==(const server_restored &) const = default;
};

} // namespace lycheeshunt::servers
