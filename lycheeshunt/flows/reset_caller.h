#pragma once

#include "lycheeshunt/base/error_code.h"
#include "lycheeshunt/base/packet_bytes.h"

namespace lycheeshunt::flows {

// Reset the caller's connection, in answer to this packet.
struct reset_caller
{
    const base::packet_bytes callerPacket;
    const base::error_code reason;

    bool operator==(const reset_caller &) const = default;
};

} // namespace lycheeshunt::flows
