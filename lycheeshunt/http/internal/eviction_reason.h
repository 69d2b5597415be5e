#pragma once

#include <cstdint>

namespace lycheeshunt::http::internal {

// The limit for which a connection is closed in favour of a new one.
enum class eviction_reason : std::uint8_t {
    connectionsPerAddress,
    connections,
    descriptors,
    bodyBytes
};

const char *textOf(eviction_reason reason);

} // namespace lycheeshunt::http::internal
