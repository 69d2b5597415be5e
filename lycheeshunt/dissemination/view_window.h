#pragma once

#include <cstdint>

namespace lycheeshunt::dissemination {

// A node accepts this many snapshot pieces for one request on this stream, and compressed ones.
// Sent before a request. Control VMs of earlier builds discard it and send one piece, uncompressed.
struct view_window
{
    const std::uint32_t pieces = 1;

    bool operator==(const view_window &) const = default;
};

} // namespace lycheeshunt::dissemination
