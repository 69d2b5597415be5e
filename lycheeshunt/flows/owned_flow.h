#pragma once

#include "lycheeshunt/base/clock_time.h"

namespace lycheeshunt::flows {

// A flow whose packets go to this agent's backend server.
struct owned_flow
{
    const base::clock_time lastPacket;
    const bool finishing = false;

    bool operator==(const owned_flow &) const = default;
};

} // namespace lycheeshunt::flows
