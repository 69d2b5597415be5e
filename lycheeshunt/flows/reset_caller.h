#pragma once

#include "lycheeshunt/base/error_code.h"
#include "lycheeshunt/base/packet_bytes.h"

namespace lycheeshunt::flows {

// Tell the caller, in answer to this packet, that its flow can't go on.
struct reset_caller
{
    const base::packet_bytes callerPacket;
    const base::error_code reason;

    bool operator==(const reset_caller &) const = default;
};

} // namespace lycheeshunt::flows
