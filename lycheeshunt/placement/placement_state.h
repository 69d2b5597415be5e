// What one agent knows of the load of its service. Each service has a state of its own.

#pragma once

#include "lycheeshunt/placement/peer.h"
#include "lycheeshunt/placement/peer_state.h"
#include "lycheeshunt/placement/placement_rules.h"
#include <map>

namespace lycheeshunt::placement {

struct placement_state
{
    placement_state(const peer &agent, const placement_rules &chosen)
        : self(std::make_shared<const peer>(agent)),
          rules(std::make_shared<const placement_rules>(chosen)),
          ownLoad(std::make_shared<const server_load>())
    {
    }

    std::shared_ptr<const peer> self;
    std::shared_ptr<const placement_rules> rules;
    std::shared_ptr<const server_load> ownLoad;
    std::map<base::node_id, peer_state> peers;
    std::uint64_t sequence = 0;
    // Load last sent, and the control bytes that may be sent now.
    std::shared_ptr<const server_load> sentLoad = {};
    base::clock_time sentAt = {};
    base::clock_time budgetAt = {};
    double budgetBytes = 0;
};

} // namespace lycheeshunt::placement
