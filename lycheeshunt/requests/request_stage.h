#pragma once

#include <cstdint>

namespace lycheeshunt::requests {

enum class request_stage : std::uint8_t {
    offered = 1, // offered to placement; not run
    backingOff = 2, // not run, or idempotent; retried at retryAt
    claimed = 3, // an owner claimed the start; the backup has not acknowledged the record yet
    started = 4, // permitted to start; it may have run
    ended = 5, // the outcome is kept to answer retransmissions
};

} // namespace lycheeshunt::requests
