#pragma once

#include "lycheeshunt/base/identifiers.h"

#include <optional>

namespace lycheeshunt::replication {

// Replicates the log of a leader, or waits until one is elected.
struct follower_role
{
    std::optional<base::node_id> leader;

    bool operator==(const follower_role &) const = default;
};

} // namespace lycheeshunt::replication
