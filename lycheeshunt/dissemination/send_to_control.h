#pragma once

#include "lycheeshunt/dissemination/node_message.h"
#include "lycheeshunt/streams/connection_id.h"

namespace lycheeshunt::dissemination {

struct send_to_control
{
    const streams::connection_id connection;
    const node_message message;

    bool operator==(const send_to_control &) const = default;
};

} // namespace lycheeshunt::dissemination
