#pragma once

#include "lycheeshunt/streams/connection_id.h"

namespace lycheeshunt::streams {

// A connection was opened; frames may be sent on it.
struct stream_opened
{
    const connection_id connection;

    bool operator==(const stream_opened &) const = default;
};

} // namespace lycheeshunt::streams
