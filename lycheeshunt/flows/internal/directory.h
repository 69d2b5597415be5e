// The director's duty: a bounded table of which agent owns each flow of this agent's buckets.

#pragma once

#include "lycheeshunt/flows/internal/flow_context.h"
#include "lycheeshunt/flows/registration_batch.h"

#include <optional>

namespace lycheeshunt::flows::internal {

// Room for the flow, or an entry of it already there.
bool directoryHasRoom(const flow_state &state, const base::flow_key &key);

// Where the flow's owner is to be reached now; nothing when the directory does not know the flow
// or its owner is gone. An owner that has restarted is reached in its new life.
std::optional<routing::target> knownOwner(const flow_state &state, const base::flow_key &key);

// Keeps the entry from expiring: a packet of its flow went by.
void refreshEntry(flow_context &context, const base::flow_key &key);

void handleRegistration(flow_context &context, const registration_batch &batch);

// Drops entries that nobody has repeated or used, and those whose owner is gone.
void directoryTick(flow_context &context);

} // namespace lycheeshunt::flows::internal
