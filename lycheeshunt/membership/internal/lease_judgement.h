// What a lease says of its member at one moment.

#pragma once

#include "lycheeshunt/membership/internal/silence_census.h"

#include <optional>

namespace lycheeshunt::membership::internal {

// The member as it should stand in the log; nothing when it is to be evicted. `committed` is how
// it stands there now, or null.
std::optional<member> judgeLease(const lease &held, const member *committed,
                                 const silence_census &census, const lease_policy &policy,
                                 base::clock_time now);

} // namespace lycheeshunt::membership::internal
