// Registers owned flows with their directors and backups. A registration is sent at once when a
// flow opens, in one batch with others queued for the same agent, and is retransmitted until it is
// acknowledged. It is repeated when a director changes, at a bounded rate, and after the refresh
// interval.

#pragma once

#include "lycheeshunt/flows/internal/flow_context.h"
#include "lycheeshunt/flows/registration_ack.h"

namespace lycheeshunt::flows::internal {

// Interval at which an owner repeats the registration of a flow. A directory entry does not expire
// when two repetitions in a row are lost.
constexpr base::clock_time refreshInterval = base::clock_time::ofSeconds(600);

// Registers an owned flow with its director and backup at once.
void registerNow(flow_context &context, const base::flow_key &key);

// Queues the registration of a flow, or of its end, for director and backup.
void registerLater(flow_context &context, const base::flow_key &key, bool alive);
// Registers the end of a flow that another agent opens meanwhile. The directories refuse that
// agent's registration until then, so it does not wait for others to share a datagram with.
void registerGivenUp(flow_context &context, const base::flow_key &key);

// Queues a registration for one agent. Has no effect when that is this agent.
void registerWith(flow_context &context, const routing::target &to, const base::flow_key &key,
                  bool alive, base::clock_time dueAt);

void handleRegistrationAck(flow_context &context, const registration_ack &ack);

// Sends due registrations, within the limit on their rate, and retransmits unacknowledged ones.
void registrarTick(flow_context &context);

} // namespace lycheeshunt::flows::internal
