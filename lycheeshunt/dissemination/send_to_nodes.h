#pragma once

#include "lycheeshunt/dissemination/control_message.h"
#include "lycheeshunt/streams/connection_id.h"

#include <vector>

namespace lycheeshunt::dissemination {

// Sends one message to several nodes, so that it is built and encoded once.
struct send_to_nodes
{
    const std::vector<streams::connection_id> connections = {};
    const control_message message;

    bool operator==(const send_to_nodes &) const = default;
};

} // namespace lycheeshunt::dissemination
