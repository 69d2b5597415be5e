#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/flows/peer_message.h"

namespace lycheeshunt::flows {

// Send a message to another agent.
struct send_to_peer
{
    const base::endpoint to;
    const peer_message message;

    bool operator==(const send_to_peer &) const = default;
};

} // namespace lycheeshunt::flows
