#pragma once

#include "lycheeshunt/streams/channel.h"
#include "lycheeshunt/streams/connection_id.h"

#include <string>

namespace lycheeshunt::streams {

// One complete message, received or to be sent.
struct stream_frame
{
    const connection_id connection;
    const streams::channel channel;
    const std::string bytes;

    bool operator==(const stream_frame &) const = default;
};

} // namespace lycheeshunt::streams
