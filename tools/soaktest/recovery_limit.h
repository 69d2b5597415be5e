#pragma once

#include "lycheeshunt/base/clock_time.h"

namespace lycheeshunt::soak {

// The system recovers from the end of a fault within 4,000 ms (docs/design/hard-load.md). Fifteen
// times that, so that a slow machine breaks no promise; a run that recovers does not wait for it.
inline constexpr base::clock_time recoveryLimit = base::clock_time::ofSeconds(60);

} // namespace lycheeshunt::soak
