// Derives the state of a member from its lease.

#pragma once

#include "lycheeshunt/membership/internal/silence_census.h"

#include <optional>

namespace lycheeshunt::membership::internal {

// Returns the member as it should be in the log, or nothing when it is to be evicted. `committed`
// is the member as it is in the log, or null.
std::optional<member> evaluateLease(const lease &current, const member *committed,
                                    const silence_census &census, const lease_policy &policy,
                                    base::clock_time now);

} // namespace lycheeshunt::membership::internal
