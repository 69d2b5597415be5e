#pragma once

namespace lycheeshunt::membership {

// This control process became leader or lost leadership. Only the leader evaluates leases.
struct leadership_changed
{
    const bool leading = false;

    bool operator==(const leadership_changed &) const = default;
};

} // namespace lycheeshunt::membership
