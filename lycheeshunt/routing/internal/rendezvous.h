// Weighted rendezvous hashing in integer arithmetic, so that every node computes identical results.

#pragma once

#include "lycheeshunt/base/identifiers.h"

#include <cstdint>

namespace lycheeshunt::routing::internal {

// The target with the lowest cost owns the bucket. A cost depends on one target only, so a change
// of one target moves only buckets that it gains or loses. Precondition: weight > 0.
std::uint64_t rendezvousCost(base::bucket bucket, base::node_id node, std::uint32_t weight);

} // namespace lycheeshunt::routing::internal
