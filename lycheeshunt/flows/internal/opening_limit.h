// Limits the opening packets at a backend server that warms up after its start: in any second at
// most the warm-up rate of its service plus the slack of this agent's settings. The tokens are kept
// beside the server, since only its agent delivers opening packets to it.

#pragma once

#include "lycheeshunt/flows/internal/flow_context.h"
#include "lycheeshunt/flows/warmup_changed.h"

namespace lycheeshunt::flows::internal {

// Whether the server may get an opening packet now, as far as its warm-up is concerned.
bool hasOpeningToken(const flow_state &state, base::clock_time now);

// Whether the server may get an opening packet without a token if no other server can take it: the
// service states a rate of 0, so that it would otherwise refuse all callers while its servers warm
// up.
bool mayExceedLimit(const flow_state &state);

// Whether this agent's load reports say that it accepts flows. Changes less often than the tokens
// do.
bool announcesOpenings(const flow_state &state, base::clock_time now);

// Called for every opening packet that is delivered to the server, first and repeated ones alike.
void takeOpeningToken(flow_context &context);

void handleWarmup(flow_context &context, const warmup_changed &changed);

// Takes the rate from the definition of this agent's service in the current view, if it has one.
void updateWarmupRate(flow_context &context);

} // namespace lycheeshunt::flows::internal
