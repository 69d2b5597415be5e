// Identifies the duty that handles a frame. It is the first byte of the content of every frame.

#pragma once

#include <cstdint>

namespace lycheeshunt::streams {

enum class channel : std::uint8_t {
    membership = 1,
    dissemination = 2,
    replication = 3,
    flows = 4,
    requests = 5,
};

} // namespace lycheeshunt::streams
