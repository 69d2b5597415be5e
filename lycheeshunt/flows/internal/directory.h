// The director's part: a bounded table of the owners of the flows in this agent's buckets.

#pragma once

#include "lycheeshunt/flows/internal/flow_context.h"
#include "lycheeshunt/flows/registration_batch.h"

#include <optional>

namespace lycheeshunt::flows::internal {

// Whether the directory has an entry of the flow or room for one.
bool directoryHasRoom(const flow_state &state, const base::flow_key &key);

// The current address and incarnation of the flow's owner, which may have restarted since it
// registered the flow. Empty when the directory has no entry or the owner was removed.
std::optional<routing::target> knownOwner(const flow_state &state, const base::flow_key &key);

// Postpones the expiry of the entry, since a packet of its flow has passed.
void refreshEntry(flow_context &context, const base::flow_key &key);

void handleRegistration(flow_context &context, const registration_batch &batch);

// Expires entries that were neither registered again nor used, and those whose owner was removed.
void directoryTick(flow_context &context);

} // namespace lycheeshunt::flows::internal
