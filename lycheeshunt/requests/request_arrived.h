#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/requests/reply_handle.h"
#include "lycheeshunt/requests/request_identity.h"

namespace lycheeshunt::requests {

// A request of a caller arrived, for the first time or as a retransmission.
struct request_arrived
{
    const request_identity identity;
    const reply_handle reply;
    const base::clock_time deadline;
    const bool idempotent = false;
    // When the caller first sent it, by this director's clock.
    const base::clock_time firstSentAt;

    bool operator==(const request_arrived &) const = default;
};

} // namespace lycheeshunt::requests
