#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/placement/load_report.h"

namespace lycheeshunt::placement {

// Sends this agent's load to another agent.
struct send_report
{
    const base::node_id to;
    const load_report report;

    bool operator==(const send_report &) const = default;
};

} // namespace lycheeshunt::placement
