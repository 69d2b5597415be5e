#pragma once

namespace lycheeshunt::replication {

// Time has passed.
struct replica_tick
{
    bool operator==(const replica_tick &) const = default;
};

} // namespace lycheeshunt::replication
