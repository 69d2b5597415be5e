// The result of a decision: the next state of its slice and the actions to carry out.
// State is moved into and out of the decision, so that a step does not copy the slice's tables.

#pragma once

#include "lycheeshunt/base/error.h"

#include <optional>
#include <type_traits>
#include <vector>

namespace lycheeshunt::base {

template <typename state_type, typename action_type>
struct step
{
    // A state that is lost halfway through a move could not be given back.
    static_assert(std::is_nothrow_move_constructible_v<state_type>);

    state_type state;
    std::vector<action_type> actions;
    // Set if the decision was cut short by an exception: the state holds what was changed until
    // then, and the actions match it.
    std::optional<error> fault = {};
};

} // namespace lycheeshunt::base
