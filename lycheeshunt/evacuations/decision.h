// Decides which availability zones are evacuated and how operators' orders are answered. The last
// order of a zone in the log is in force.
//
// An order is first confirmed by a read: everything that earlier leaders committed is then applied
// here, so that a later entry of the log is one that this VM has proposed. An order that is in
// force already is accepted then; any other is accepted once its entry is committed.
//
//     step<evacuations_state, evacuation_action> next = decide(std::move(state), message);

#pragma once

#include "lycheeshunt/base/step.h"
#include "lycheeshunt/evacuations/evacuation_message.h"
#include "lycheeshunt/evacuations/evacuations_state.h"

namespace lycheeshunt::evacuations {

base::step<evacuations_state, evacuation_action> decide(evacuations_state state,
                                                        const evacuation_message &message);

} // namespace lycheeshunt::evacuations
