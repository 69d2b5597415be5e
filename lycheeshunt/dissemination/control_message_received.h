#pragma once

#include "lycheeshunt/dissemination/control_message.h"

namespace lycheeshunt::dissemination {

// A node received a message from control.
struct control_message_received
{
    const control_message message;

    bool operator==(const control_message_received &) const = default;
};

} // namespace lycheeshunt::dissemination
