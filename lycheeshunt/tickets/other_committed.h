#pragma once

#include "lycheeshunt/base/identifiers.h"

#include <string>
#include <vector>

namespace lycheeshunt::tickets {

// A committed entry that is not a ticket. It passes through this duty unchanged, so that entries
// are applied in log order.
struct other_committed
{
    const base::generation at;
    // A membership batch, a desired state and evacuation orders, encoded; at least one is present.
    const std::string batch = {};
    const std::string state = {};
    // Replaces several entries by their combined result.
    const bool isMerged = false;
    const std::vector<std::string> evacuations = {};

    bool operator==(const other_committed &) const = default;
};

} // namespace lycheeshunt::tickets
