#pragma once

#include "lycheeshunt/streams/connection_id.h"

namespace lycheeshunt::dissemination {

// The stream of a node was closed.
struct subscriber_closed
{
    const streams::connection_id connection;

    bool operator==(const subscriber_closed &) const = default;
};

} // namespace lycheeshunt::dissemination
