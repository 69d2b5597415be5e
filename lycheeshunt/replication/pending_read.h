#pragma once

#include "lycheeshunt/base/request_id.h"

namespace lycheeshunt::replication {

// A read that waits until a quorum has answered this heartbeat round.
struct pending_read
{
    base::request_id request;
    std::uint64_t heartbeatRound = 0;

    bool operator==(const pending_read &) const = default;
};

} // namespace lycheeshunt::replication
