// The owner's registrations: sent at once when a flow opens, together with what else waits for
// the same agent; sent again until acknowledged; repeated when a director changes, at a bounded
// pace, and after the refresh interval.

#pragma once

#include "lycheeshunt/flows/internal/flow_context.h"
#include "lycheeshunt/flows/registration_ack.h"

namespace lycheeshunt::flows::internal {

// How often an owner repeats the registrations of a flow. A directory entry outlives two lost
// repetitions.
constexpr base::clock_time refreshEvery = base::clock_time::ofSeconds(600);

// Registers an owned flow with its director and backup at once.
void registerNow(flow_context &context, const base::flow_key &key);

// Queues a registration, or the end of one, for director and backup.
void registerLater(flow_context &context, const base::flow_key &key, bool alive);

// Queues a registration for one agent; does nothing when that is this agent.
void registerWith(flow_context &context, const routing::target &to, const base::flow_key &key,
                  bool alive, base::clock_time dueAt);

void handleRegistrationAck(flow_context &context, const registration_ack &ack);

// Sends what is due, as far as the pace allows, and repeats what was not acknowledged.
void registrarTick(flow_context &context);

} // namespace lycheeshunt::flows::internal
