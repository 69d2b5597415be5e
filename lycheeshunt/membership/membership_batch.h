#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/membership/member.h"

#include <vector>

namespace lycheeshunt::membership {

// The membership changes of one log entry: the new state of added or changed members, and the
// members that are removed.
struct membership_batch
{
    const std::vector<member> updated;
    const std::vector<base::node_id> removed;

    bool isEmpty() const { return updated.empty() && removed.empty(); }

    bool operator==(const membership_batch &) const = default;
};

} // namespace lycheeshunt::membership
