#pragma once

namespace lycheeshunt::admission {

// The backend server starts or stops draining.
struct drain_changed
{
    const bool draining = true;

    bool operator==(const drain_changed &) const = default;
};

} // namespace lycheeshunt::admission
