#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/base/identifiers.h"

#include <vector>

namespace lycheeshunt::flows {

// A search among more backend servers than a packet can list. The packet comes back to the agent
// that keeps this, with the last one that was tried, after those that it listed.
struct pending_trial
{
    // In the order in which they are tried.
    const std::vector<base::node_id> candidates;
    // The doubt that the packet had before its list was cut.
    const bool isDoubtful = false;
    const base::clock_time at;

    bool operator==(const pending_trial &) const = default;
};

} // namespace lycheeshunt::flows
