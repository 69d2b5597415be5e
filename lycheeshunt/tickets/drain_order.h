#pragma once

#include <string>

namespace lycheeshunt::tickets {

// Whether the backend server beside the named agent is draining.
struct drain_order
{
    const std::string node;
    const bool draining = true;

    bool operator==(const drain_order &) const = default;
};

} // namespace lycheeshunt::tickets
