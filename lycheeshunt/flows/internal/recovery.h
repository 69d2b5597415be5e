// Recovers the flows that an earlier incarnation of this agent owned: requests from the other
// agents of its service the flows that it registered with them.

#pragma once

#include "lycheeshunt/flows/internal/flow_context.h"
#include "lycheeshunt/flows/recovery_page.h"
#include "lycheeshunt/flows/recovery_request.h"

namespace lycheeshunt::flows::internal {

// Starts the recovery with the first view that contains this agent's service. Later calls have no
// effect.
void startRecovery(flow_context &context);

// Whether a request to some agent is still pending.
bool isRecovering(const flow_state &state);

// Whether an earlier incarnation may have owned flows that only the backend server still knows.
bool hasStartedRecently(const flow_state &state, base::clock_time now);

void handleRecoveryRequest(flow_context &context, const recovery_request &request);
void handleRecoveryPage(flow_context &context, const recovery_page &page);

// Retries requests that were not answered, and ends the recovery after a timeout.
void recoveryTick(flow_context &context);

} // namespace lycheeshunt::flows::internal
