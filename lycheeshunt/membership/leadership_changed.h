#pragma once

namespace lycheeshunt::membership {

// This control process has begun or ceased to lead. Only a leader judges silence.
struct leadership_changed
{
    const bool leading = false;

    bool operator==(const leadership_changed &) const = default;
};

} // namespace lycheeshunt::membership
