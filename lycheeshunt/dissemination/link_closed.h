#pragma once

#include "lycheeshunt/streams/connection_id.h"

namespace lycheeshunt::dissemination {

// The node's stream to control was closed.
struct link_closed
{
    const streams::connection_id connection;

    bool operator==(const link_closed &) const = default;
};

} // namespace lycheeshunt::dissemination
