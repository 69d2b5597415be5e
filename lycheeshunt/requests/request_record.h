#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/requests/reply_handle.h"
#include "lycheeshunt/requests/request_outcome.h"
#include "lycheeshunt/requests/request_stage.h"
#include <optional>
#include <vector>

namespace lycheeshunt::requests {

// The record of one request at its director. State, not a message: it changes in place.
struct request_record
{
    base::clock_time deadline = {};
    bool idempotent = false;
    // An earlier start of this idempotent request may have run.
    bool mayHaveRunBefore = false;
    // Replicated from another director; the owner sends its answer here only when queried.
    bool replicated = false;
    request_stage stage = request_stage::offered;
    base::node_id owner = {};
    base::clock_time retryAt = {};
    std::uint32_t retries = 0;
    base::clock_time expiresAt = {};
    std::vector<reply_handle> pendingReplies = {};
    std::shared_ptr<const request_outcome> outcome = {};
};

} // namespace lycheeshunt::requests
