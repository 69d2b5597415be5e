// A stream frame as bytes: the channel number, then the message.

#pragma once

#include "lycheeshunt/streams/stream_frame.h"

#include <string>
#include <string_view>

namespace lycheeshunt::streams::internal {

inline std::string frameText(const stream_frame &frame)
{
    std::string text(1, static_cast<char>(frame.channel));
    text += frame.bytes;
    return text;
}

// Precondition: text is not empty, which h2_connection sees to.
inline stream_frame frameFromText(connection_id connection, std::string_view text)
{
    return stream_frame {connection, static_cast<channel>(text.front()),
                         std::string(text.substr(1))};
}

} // namespace lycheeshunt::streams::internal
