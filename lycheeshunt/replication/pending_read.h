#pragma once

#include "lycheeshunt/base/request_id.h"

namespace lycheeshunt::replication {

// Waits until a quorum has answered this round.
struct pending_read
{
    base::request_id request;
    std::uint64_t round = 0;

    bool operator==(const pending_read &) const = default;
};

} // namespace lycheeshunt::replication
