#pragma once

#include "lycheeshunt/base/packet_bytes.h"
#include "lycheeshunt/packets/ip_summary.h"

namespace lycheeshunt::flows {

// A packet that the backend server sends to a caller.
struct server_answer
{
    const packets::ip_summary summary;
    const base::packet_bytes bytes;

    bool operator==(const server_answer &) const = default;
};

} // namespace lycheeshunt::flows
