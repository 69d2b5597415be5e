#pragma once

#include "lycheeshunt/base/identifiers.h"

#include <string>

namespace lycheeshunt::tickets {

// A committed entry that is not a ticket. It passes through this duty unchanged, so that entries
// are applied in log order.
struct other_committed
{
    const base::generation at;
    // A membership batch and a desired state, encoded; at least one is present.
    const std::string batch = {};
    const std::string state = {};
    // Replaces several entries by their combined result.
    const bool isMerged = false;

    bool operator==(const other_committed &) const = default;
};

} // namespace lycheeshunt::tickets
