#pragma once

namespace lycheeshunt::replication {

// Periodic timer event.
struct replica_tick
{
    bool operator==(const replica_tick &) const = default;
};

} // namespace lycheeshunt::replication
