#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/placement/load_report.h"

namespace lycheeshunt::placement {

// Tell another agent the load of this one.
struct send_report
{
    const base::node_id to;
    const load_report report;

    bool operator==(const send_report &) const = default;
};

} // namespace lycheeshunt::placement
