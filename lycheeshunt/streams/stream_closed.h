#pragma once

#include "lycheeshunt/streams/connection_id.h"

namespace lycheeshunt::streams {

// A connection ended, by either side or by its silence.
struct stream_closed
{
    const connection_id connection;

    bool operator==(const stream_closed &) const = default;
};

} // namespace lycheeshunt::streams
