#pragma once

#include "lycheeshunt/base/error_code.h"

namespace lycheeshunt::flows {

// Drop the packet and count it under this code. The caller retransmits it, and by then
// it may take another route.
struct refuse_packet
{
    const base::error_code reason;

    bool operator==(const refuse_packet &) const = default;
};

} // namespace lycheeshunt::flows
