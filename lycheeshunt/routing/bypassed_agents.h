// The agents that one entry sends nothing to for now, by its own observation. Immutable; shared by
// the threads of the entry.

#pragma once

#include "lycheeshunt/base/identifiers.h"

#include <memory>
#include <unordered_set>

namespace lycheeshunt::routing {

using bypassed_agents = std::unordered_set<base::node_id>;
using shared_bypass = std::shared_ptr<const bypassed_agents>;

} // namespace lycheeshunt::routing
