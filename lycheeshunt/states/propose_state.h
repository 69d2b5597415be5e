#pragma once

#include "lycheeshunt/states/desired_state.h"

namespace lycheeshunt::states {

// Appends the state to the log.
struct propose_state
{
    const shared_state state;
    const std::uint64_t token = 0;

    bool operator==(const propose_state &) const = default;
};

} // namespace lycheeshunt::states
