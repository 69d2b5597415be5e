#pragma once

#include "lycheeshunt/base/packet_bytes.h"

namespace lycheeshunt::flows {

// Send a backend server's packet directly to the caller.
struct answer_caller
{
    const base::packet_bytes bytes;

    bool operator==(const answer_caller &) const = default;
};

} // namespace lycheeshunt::flows
