#pragma once

#include "lycheeshunt/flows/flow_action.h"
#include "lycheeshunt/flows/flow_state.h"

#include <vector>

namespace lycheeshunt::flows::internal {

// State, time and resulting actions of one decision, shared by the functions that make it.
struct flow_context
{
    flow_state &state;
    const base::clock_time now;
    std::vector<flow_action> &actions;
};

} // namespace lycheeshunt::flows::internal
