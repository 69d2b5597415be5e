#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/placement/load_report.h"
#include "lycheeshunt/placement/offer_id.h"
#include <optional>
#include <vector>

namespace lycheeshunt::placement {

// A new flow or request needs a server. Handled by its director, then by each agent to which the
// director or another agent offers it.
struct flow_offered
{
    const offer_id id;
    // Agents that forwarded the offer, the director first.
    const std::vector<base::node_id> tried = {};
    // Load of the agent that sends the offer.
    const std::optional<load_report> sender = {};
    // Whether the agent that decides can take the flow now, where its load reports are less exact.
    const std::optional<bool> acceptsHere = {};

    bool operator==(const flow_offered &) const = default;
};

} // namespace lycheeshunt::placement
