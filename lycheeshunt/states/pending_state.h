#pragma once

#include "lycheeshunt/base/request_id.h"
#include "lycheeshunt/states/desired_state.h"

#include <vector>

namespace lycheeshunt::states {

// An in-flight proposal and the requests that wait for its outcome.
struct pending_state
{
    const shared_state state;
    const std::uint64_t token = 0;
    const std::vector<base::request_id> waiting = {};

    bool operator==(const pending_state &) const = default;
};

} // namespace lycheeshunt::states
