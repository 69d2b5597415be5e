// Decides which work gets a slot of the backend server, which waits and which is refused. Work is
// refused on arrival when it can't be expected to get a slot in time. No I/O, threads or clock.
//
//     step<admission_state, admission_action> next = decide(std::move(state), message, now);
//
// Every piece of work gets exactly one of: refuse_work or transfer_work (it was not run here), or
// dispatch_work followed by work_ended or report_work_lost.

#pragma once

#include "lycheeshunt/admission/admission_action.h"
#include "lycheeshunt/admission/admission_message.h"
#include "lycheeshunt/admission/admission_state.h"
#include "lycheeshunt/admission/slot_counts.h"
#include "lycheeshunt/base/step.h"

namespace lycheeshunt::admission {

base::step<admission_state, admission_action>
decide(admission_state state, const admission_message &message, base::clock_time now);

// What placement is told of this agent.
slot_counts countsOf(const admission_state &state, base::clock_time now);

} // namespace lycheeshunt::admission
