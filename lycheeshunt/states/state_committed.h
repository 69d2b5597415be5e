#pragma once

#include "lycheeshunt/states/desired_state.h"

namespace lycheeshunt::states {

// The log has committed a desired state.
struct state_committed
{
    const shared_state state;

    bool operator==(const state_committed &) const = default;
};

} // namespace lycheeshunt::states
