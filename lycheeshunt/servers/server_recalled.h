#pragma once

#include "lycheeshunt/base/identifiers.h"

#include <cstdint>
#include <string>

namespace lycheeshunt::servers {

// The view says that an earlier incarnation of this agent had a serving server beside it.
struct server_recalled
{
    const std::string service;
    // Of that incarnation.
    const base::incarnation incarnation;
    const std::uint32_t slots = 0;

    bool operator==(const server_recalled &) const = default;
};

} // namespace lycheeshunt::servers
