#pragma once

#include "lycheeshunt/base/identifiers.h"

#include <optional>

namespace lycheeshunt::replication {

// Takes entries from a leader, or waits for one.
struct follower_role
{
    std::optional<base::node_id> leader;

    bool operator==(const follower_role &) const = default;
};

} // namespace lycheeshunt::replication
