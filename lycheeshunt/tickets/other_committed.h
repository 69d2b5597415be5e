#pragma once

#include "lycheeshunt/base/identifiers.h"

#include <string>

namespace lycheeshunt::tickets {

// Committed entries that are no tickets. They pass through here, in and out, so that those who
// apply entries get all of them in the order of the log.
struct other_committed
{
    const base::generation at;
    // A membership batch and a desired state, encoded; at least one of them is there.
    const std::string batch = {};
    const std::string state = {};
    // Stands for several entries: what they amount to is told, not each of them.
    const bool isMerged = false;

    bool operator==(const other_committed &) const = default;
};

} // namespace lycheeshunt::tickets
