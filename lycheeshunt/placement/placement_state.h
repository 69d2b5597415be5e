// Load of the agents of one service, as known to one of them. An agent has one state per service.

#pragma once

#include "lycheeshunt/placement/peer.h"
#include "lycheeshunt/placement/peer_state.h"
#include "lycheeshunt/placement/placement_rules.h"
#include <map>

namespace lycheeshunt::placement {

struct placement_state
{
    placement_state(const peer &agent, const placement_rules &placementRules)
        : self(std::make_shared<const peer>(agent)),
          rules(std::make_shared<const placement_rules>(placementRules)),
          ownLoad(std::make_shared<const server_load>())
    {
    }

    std::shared_ptr<const peer> self;
    std::shared_ptr<const placement_rules> rules;
    std::shared_ptr<const server_load> ownLoad;
    std::map<base::node_id, peer_state> peers;
    std::uint64_t sequence = 0;
    // Load in the last reports sent, and the report budget that is left.
    std::shared_ptr<const server_load> sentLoad = {};
    base::clock_time sentAt = {};
    base::clock_time budgetAt = {};
    double budgetBytes = 0;
};

} // namespace lycheeshunt::placement
