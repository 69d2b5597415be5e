#pragma once

#include <cstdint>

namespace lycheeshunt::tickets {

// What callers may do with a request that failed.
enum class request_kind : std::uint8_t {
    idempotent = 1, // send it again after any failure
    nonIdempotent = 2, // send it again only if it certainly has not run
    upload = 3, // as nonIdempotent, with a large body
};

} // namespace lycheeshunt::tickets
