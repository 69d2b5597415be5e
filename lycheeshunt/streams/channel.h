// The duty that a frame on a stream belongs to. The first byte of every frame.

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
