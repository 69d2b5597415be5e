#pragma once

#include "lycheeshunt/streams/connection_id.h"

namespace lycheeshunt::dissemination {

// A node's stream is gone.
struct subscriber_closed
{
    const streams::connection_id connection;

    bool operator==(const subscriber_closed &) const = default;
};

} // namespace lycheeshunt::dissemination
