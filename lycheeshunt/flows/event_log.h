// Log lines of an agent's decisions about flows.

#pragma once

namespace lycheeshunt::flows {

struct flow_event;

void logFlowEvent(const flow_event &event);

} // namespace lycheeshunt::flows
