// The result of a decision: the next state of its slice and the actions to carry out.
// State is moved into and out of the decision, so that a step does not copy the slice's tables.

#pragma once

#include <vector>

namespace lycheeshunt::base {

template <typename state_type, typename action_type>
struct step
{
    state_type state;
    std::vector<action_type> actions;
};

} // namespace lycheeshunt::base
