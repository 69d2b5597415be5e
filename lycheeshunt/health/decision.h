// Combines the health that a backend server reports with the flow outcomes that its agent observes.
// Observed outcomes take precedence, as health endpoints lag and mislead; reports decide only while
// there are too few outcomes.
//
//     const health_state next = evaluate(state, observed_outcomes {answered, failed}, now);
//     if (next.verdict != state.verdict) ...

#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/health/health_observation.h"
#include "lycheeshunt/health/health_state.h"

namespace lycheeshunt::health {

health_state evaluate(const health_state &state, const health_observation &observation,
                      base::clock_time now);

} // namespace lycheeshunt::health
