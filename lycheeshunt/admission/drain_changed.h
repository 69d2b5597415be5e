#pragma once

namespace lycheeshunt::admission {

// The backend server started or stopped draining.
struct drain_changed
{
    const bool draining = true;

    bool operator==(const drain_changed &) const = default;
};

} // namespace lycheeshunt::admission
