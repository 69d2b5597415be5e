// Decides which desired state is in force and what operators are told. The highest number wins; a
// state whose number is not above the one in force changes nothing and is accepted all the same,
// so that an operator may send the same again without harm.
//
//     step<states_state, state_action> next = decide(std::move(state), message);

#pragma once

#include "lycheeshunt/base/step.h"
#include "lycheeshunt/states/state_message.h"
#include "lycheeshunt/states/states_state.h"

namespace lycheeshunt::states {

base::step<states_state, state_action> decide(states_state state, const state_message &message);

// A state as it follows the present one (null before the first): each route keeps the services that
// had a share before.
shared_state succeeding(const shared_state &present, const shared_state &sent);

} // namespace lycheeshunt::states
