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
    // Evacuation orders that later ones of this update replace, in log order. They change no view,
    // but the operators that submitted them wait for an answer.
    const std::vector<std::string> replacedEvacuations = {};

    bool operator==(const other_committed &) const = default;
};

} // namespace lycheeshunt::tickets
