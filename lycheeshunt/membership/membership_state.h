#pragma once

#include "lycheeshunt/membership/departed.h"
#include "lycheeshunt/membership/lease.h"
#include "lycheeshunt/membership/lease_policy.h"

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace lycheeshunt::membership {

// Who has been heard of, and what the log says of them.
struct membership_state
{
    std::shared_ptr<const lease_policy> policy = std::make_shared<const lease_policy>();
    bool leading = true;
    std::map<base::node_id, lease> leases;
    std::map<base::node_id, member> committed;
    std::map<base::node_id, departed> gone;
    // Which lease holds a packet address.
    std::map<base::endpoint, base::node_id> holders;
    // Clashes that were reported already, by loser.
    std::set<base::node_id> clashes;
    // Leases to look at before the next full check.
    std::set<base::node_id> pending;
    std::optional<base::clock_time> lastProposal;
    base::clock_time nextCheck;
};

} // namespace lycheeshunt::membership
