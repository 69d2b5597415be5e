// Weighs what a backend server says of its own health against what its agent sees. What is seen
// goes first, as health endpoints lag and mislead; reports decide only where little is seen.
//
//     const health_state next = judge(state, observed_outcomes {answered, failed}, now);
//     if (next.verdict != state.verdict) ...

#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/health/health_observation.h"
#include "lycheeshunt/health/health_state.h"

namespace lycheeshunt::health {

health_state judge(const health_state &state, const health_observation &observation,
                   base::clock_time now);

} // namespace lycheeshunt::health
