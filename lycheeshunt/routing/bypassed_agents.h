// The agents that an entry currently suspects by its own observation and routes around. Immutable;
// shared by the entry's threads.

#pragma once

#include "lycheeshunt/base/identifiers.h"

#include <memory>
#include <unordered_set>

namespace lycheeshunt::routing {

using bypassed_agents = std::unordered_set<base::node_id>;
using shared_bypass = std::shared_ptr<const bypassed_agents>;

} // namespace lycheeshunt::routing
