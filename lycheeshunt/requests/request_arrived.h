#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/requests/reply_handle.h"
#include "lycheeshunt/requests/request_identity.h"

namespace lycheeshunt::requests {

// A caller sends a request, for the first time or again.
struct request_arrived
{
    const request_identity identity;
    const reply_handle reply;
    const base::clock_time deadline;
    const bool idempotent = false;
    // When the caller sent it for the first time, on the clock of this director.
    const base::clock_time firstSentAt;

    bool operator==(const request_arrived &) const = default;
};

} // namespace lycheeshunt::requests
