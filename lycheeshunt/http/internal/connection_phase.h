#pragma once

#include <cstdint>

namespace lycheeshunt::http::internal {

enum class connection_phase : std::uint8_t {
    // Has sent nothing since it was opened.
    silent,
    // Has sent a part of a request's header.
    header,
    // Has sent the header and a part of the body.
    body,
    // Has sent a complete request that waits for its answer.
    answering,
    // Its answer is being written.
    writing,
    // Has received an answer and has not begun another request.
    idle,
    // Has received its last answer.
    closing
};

const char *textOf(connection_phase phase);

} // namespace lycheeshunt::http::internal
