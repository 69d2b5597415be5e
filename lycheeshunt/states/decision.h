// Decides which desired state is in force and how operators' requests are answered. The highest
// number wins; a state whose number is not above the one in force changes nothing and is still
// accepted, so that operators can retry safely.
//
//     step<states_state, state_action> next = decide(std::move(state), message);

#pragma once

#include "lycheeshunt/base/step.h"
#include "lycheeshunt/states/state_message.h"
#include "lycheeshunt/states/states_state.h"

namespace lycheeshunt::states {

base::step<states_state, state_action> decide(states_state state, const state_message &message);

// The sent state with each route's former services taken from the present state (null before the
// first), so that open flows stay with the services they started on.
shared_state successorOf(const shared_state &present, const shared_state &sent);

} // namespace lycheeshunt::states
