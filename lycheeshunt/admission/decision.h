// Admission control for one backend server: decides which work is dispatched to a slot, queued or
// refused. Work is refused on arrival when it is not expected to get a slot in time. Performs no
// I/O, starts no threads and reads no clock.
//
//     step<admission_state, admission_action> next = decide(std::move(state), message, now);
//
// Each unit of work leads to exactly one of: refuse_work or transfer_work (it was not run here), or
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

// The slot counts that this agent reports to placement.
slot_counts countsOf(const admission_state &state, base::clock_time now);

} // namespace lycheeshunt::admission
