#pragma once

#include "lycheeshunt/states/desired_state.h"

namespace lycheeshunt::states {

// The desired state in force; null before the first.
struct state_contents
{
    const shared_state state;

    bool operator==(const state_contents &) const = default;
};

} // namespace lycheeshunt::states
