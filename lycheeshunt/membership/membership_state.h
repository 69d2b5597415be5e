#pragma once

#include "lycheeshunt/membership/lease.h"

#include <map>

namespace lycheeshunt::membership {

// Who has been heard of, and what the log says of them.
struct membership_state
{
    std::map<base::node_id, lease> leases;
    std::map<base::node_id, member> committed;
    base::clock_time lastProposal;

    bool operator==(const membership_state &) const = default;
};

} // namespace lycheeshunt::membership
