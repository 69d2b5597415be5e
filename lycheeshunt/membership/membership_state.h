#pragma once

#include "lycheeshunt/membership/departed_member.h"
#include "lycheeshunt/membership/lease.h"
#include "lycheeshunt/membership/lease_policy.h"

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace lycheeshunt::membership {

// The leases of announced members, and the membership that is committed to the log.
struct membership_state
{
    std::shared_ptr<const lease_policy> policy = std::make_shared<const lease_policy>();
    bool leading = true;
    std::map<base::node_id, lease> leases;
    std::map<base::node_id, member> committed;
    std::map<base::node_id, departed_member> departed;
    // The node whose lease has the packet address.
    std::map<base::endpoint, base::node_id> addressHolders;
    // Losers of the conflicts that were already reported.
    std::set<base::node_id> reportedConflicts;
    // Nodes to check before the next check of all leases.
    std::set<base::node_id> pending;
    std::optional<base::clock_time> lastProposal;
    base::clock_time nextCheck;
};

} // namespace lycheeshunt::membership
