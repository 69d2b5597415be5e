// Encodes a stream frame: one byte for the channel, then the message.

#pragma once

#include "lycheeshunt/streams/stream_frame.h"

#include <string>
#include <string_view>

namespace lycheeshunt::streams::internal {

inline std::string encodeFrame(const stream_frame &frame)
{
    std::string content(1, static_cast<char>(frame.channel));
    content += frame.bytes;
    return content;
}

// Precondition: the content is not empty; h2_connection closes a connection that sends an empty
// frame.
inline stream_frame decodeFrame(connection_id connection, std::string_view content)
{
    return stream_frame {connection, static_cast<channel>(content.front()),
                         std::string(content.substr(1))};
}

} // namespace lycheeshunt::streams::internal
