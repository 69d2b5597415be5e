#pragma once

#include "lycheeshunt/base/identifiers.h"

#include <vector>

namespace lycheeshunt::routing {

// Why an agent gets no new flows, or fewer.
enum class restriction : std::uint8_t { drained, evacuated, suspected, badHealth, coldStart };

struct restricted_agent
{
    const base::node_id node;
    const std::vector<restriction> restrictions;
    // Whether it has buckets. It may if it is in a cold start, or if a criterion was not applied
    // because too few agents would remain.
    const bool isDirector = false;
    // Its own server may get new flows. Agents in bad health are not excluded when others place
    // one.
    const bool mayGetFlows = false;

    bool operator==(const restricted_agent &) const = default;
};

} // namespace lycheeshunt::routing
