#pragma once

namespace lycheeshunt::membership {

// Periodic timer: checks leases and proposes changes.
struct membership_tick
{
    bool operator==(const membership_tick &) const = default;
};

} // namespace lycheeshunt::membership
