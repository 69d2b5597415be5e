// Decides how the operators' HTTP API answers.
//
//     step<operator_state, operator_action> next = decide(std::move(state), message);

#pragma once

#include "lycheeshunt/base/step.h"
#include "lycheeshunt/operators/operator_message.h"
#include "lycheeshunt/operators/operator_state.h"

namespace lycheeshunt::operators {

base::step<operator_state, operator_action> decide(operator_state state,
                                                   const operator_message &message);

} // namespace lycheeshunt::operators
