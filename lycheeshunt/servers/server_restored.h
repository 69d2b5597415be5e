#pragma once

#include "lycheeshunt/base/identifiers.h"

#include <cstdint>
#include <string>

namespace lycheeshunt::servers {

// The view says that an earlier life of this agent had a serving server beside it.
struct server_restored
{
    const std::string service;
    // Of that life.
    const base::incarnation life;
    const std::uint32_t slots = 0;

    bool operator==(const server_restored &) const = default;
};

} // namespace lycheeshunt::servers
