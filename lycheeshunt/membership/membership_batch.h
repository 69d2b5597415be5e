#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/membership/member.h"

#include <vector>

namespace lycheeshunt::membership {

// The membership changes of one log entry: members as they now are, and members gone.
struct membership_batch
{
    const std::vector<member> present;
    const std::vector<base::node_id> gone;

    bool isEmpty() const { return present.empty() && gone.empty(); }

    bool operator==(const membership_batch &) const = default;
};

} // namespace lycheeshunt::membership
