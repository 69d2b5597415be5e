// Decides what control sends to whom, and what counts as in force.
//
//     step<publisher_state, dissemination_action> next = decide(std::move(state), message);

#pragma once

#include "lycheeshunt/base/step.h"
#include "lycheeshunt/dissemination/dissemination_message.h"
#include "lycheeshunt/dissemination/publisher_state.h"

namespace lycheeshunt::dissemination {

base::step<publisher_state, dissemination_action> decide(publisher_state state,
                                                         const dissemination_message &message);

} // namespace lycheeshunt::dissemination
