#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/placement/load_report.h"
#include "lycheeshunt/placement/offer_id.h"
#include <optional>
#include <vector>

namespace lycheeshunt::placement {

// A new flow or request wants a server: at its director, and then at each agent it is offered to.
struct flow_offered
{
    const offer_id id;
    // Agents that passed it on, the director first.
    const std::vector<base::node_id> tried = {};
    // Load of the agent that offers it.
    const std::optional<load_report> sender = {};

    bool operator==(const flow_offered &) const = default;
};

} // namespace lycheeshunt::placement
