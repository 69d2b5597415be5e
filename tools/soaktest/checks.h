// Decides whether an observation breaks a promise of the product. A pure function: tests run it on
// histories without any process.

#pragma once

#include "lycheeshunt/base/step.h"
#include "tools/soaktest/check_state.h"
#include "tools/soaktest/violation.h"

namespace lycheeshunt::soak {

using check_step = base::step<check_state, violation>;

check_step decide(check_state state, const observed_event &event);

} // namespace lycheeshunt::soak
