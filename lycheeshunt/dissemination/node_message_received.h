#pragma once

#include "lycheeshunt/dissemination/node_message.h"
#include "lycheeshunt/streams/connection_id.h"

namespace lycheeshunt::dissemination {

// Control received a message from the node on this stream.
struct node_message_received
{
    const streams::connection_id connection;
    const node_message message;

    bool operator==(const node_message_received &) const = default;
};

} // namespace lycheeshunt::dissemination
