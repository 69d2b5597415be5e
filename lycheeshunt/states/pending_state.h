#pragma once

#include "lycheeshunt/base/request_id.h"
#include "lycheeshunt/states/desired_state.h"

#include <vector>

namespace lycheeshunt::states {

// A proposal under way and who waits for it.
struct pending_state
{
    const shared_state state;
    const std::uint64_t token = 0;
    const std::vector<base::request_id> waiting = {};

    bool operator==(const pending_state &) const = default;
};

} // namespace lycheeshunt::states
