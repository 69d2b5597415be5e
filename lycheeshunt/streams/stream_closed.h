#pragma once

#include "lycheeshunt/streams/connection_id.h"

namespace lycheeshunt::streams {

// A connection was closed by either side or timed out.
struct stream_closed
{
    const connection_id connection;

    bool operator==(const stream_closed &) const = default;
};

} // namespace lycheeshunt::streams
