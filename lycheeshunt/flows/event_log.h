// Logs an agent's decisions about flows.

#pragma once

#include <cstdint>

namespace lycheeshunt::flows {

enum class flow_event_kind : std::uint8_t;
struct flow_event;

const char *nameOf(flow_event_kind kind);
void logFlowEvent(const flow_event &event);

} // namespace lycheeshunt::flows
