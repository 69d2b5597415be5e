// Decides for each packet at an agent which agent owns its flow and where the packet goes next.
// Deterministic: no I/O, no threads and no clock.
//
//     step<flow_state, flow_action> next = decide(std::move(state), message, now);

#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/base/step.h"
#include "lycheeshunt/flows/flow_action.h"
#include "lycheeshunt/flows/flow_message.h"
#include "lycheeshunt/flows/flow_state.h"

namespace lycheeshunt::flows {

base::step<flow_state, flow_action> decide(flow_state state, const flow_message &message,
                                           base::clock_time now);

} // namespace lycheeshunt::flows
