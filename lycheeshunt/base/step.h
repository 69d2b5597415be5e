// What every decision returns: the next state of its slice and the actions to carry out.
// State is moved in and moved out, so that a step costs no copy of the tables it holds.

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
