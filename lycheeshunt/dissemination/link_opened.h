#pragma once

#include "lycheeshunt/streams/connection_id.h"

namespace lycheeshunt::dissemination {

// The node's stream to control was opened.
struct link_opened
{
    const streams::connection_id connection;

    bool operator==(const link_opened &) const = default;
};

} // namespace lycheeshunt::dissemination
