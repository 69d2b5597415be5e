#pragma once

#include <cstdint>

namespace lycheeshunt::tickets {

// Whether callers may retry a failed request.
enum class request_kind : std::uint8_t {
    idempotent = 1, // may be retried after any failure
    nonIdempotent = 2, // may be retried only if it certainly has not run
    upload = 3, // as nonIdempotent, with a large body
};

} // namespace lycheeshunt::tickets
