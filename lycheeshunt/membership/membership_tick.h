#pragma once

namespace lycheeshunt::membership {

// Time has passed; leases may have run out.
struct membership_tick
{
    bool operator==(const membership_tick &) const = default;
};

} // namespace lycheeshunt::membership
