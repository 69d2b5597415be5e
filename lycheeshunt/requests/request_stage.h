#pragma once

#include <cstdint>

namespace lycheeshunt::requests {

enum class request_stage : std::uint8_t {
    offered = 1, // placed or about to be; not run
    backingOff = 2, // not run, or idempotent; offered again at retryAt
    claimed = 3, // the backup director is being told of the start
    started = 4, // it may have run
    ended = 5, // the outcome is kept for resends
};

} // namespace lycheeshunt::requests
