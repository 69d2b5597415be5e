#pragma once

#include "lycheeshunt/base/clock_time.h"

#include <set>
#include <string>

namespace lycheeshunt::soak {

// One flow, as far as the checks have observed it.
struct flow_record
{
    base::clock_time openingAt;
    // Servers that its opening packet reached.
    std::set<std::string> openedAt;
    std::set<std::string> heldBy;
    std::set<int> requestsRun;
    bool reportedNotRun = false;
    // The agent beside its server was stopped or killed while the flow was open.
    bool isCarrierLost = false;

    bool operator==(const flow_record &) const = default;
};

} // namespace lycheeshunt::soak
