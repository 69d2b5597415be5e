// Getting back what a former incarnation of this agent owned: the other agents of its service are
// asked for the flows that are registered with them.

#pragma once

#include "lycheeshunt/flows/internal/flow_context.h"
#include "lycheeshunt/flows/recovery_page.h"
#include "lycheeshunt/flows/recovery_request.h"

namespace lycheeshunt::flows::internal {

// Begins with the first view that names this agent's service; later calls do nothing.
void startRecovery(flow_context &context);

// Whether some agent still has flows to tell.
bool isRecovering(const flow_state &state);

// Whether a former incarnation may have owned flows that only the backend server remembers.
bool hasStartedLately(const flow_state &state, base::clock_time now);

void handleRecoveryRequest(flow_context &context, const recovery_request &request);
void handleRecoveryPage(flow_context &context, const recovery_page &page);

// Asks again those that have not answered; gives up on the silent ones after a while.
void recoveryTick(flow_context &context);

} // namespace lycheeshunt::flows::internal
