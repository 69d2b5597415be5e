#pragma once

namespace lycheeshunt::admission {

// Periodic message that drives timeouts.
struct admission_tick
{
    bool operator==(const admission_tick &) const = default;
};

} // namespace lycheeshunt::admission
