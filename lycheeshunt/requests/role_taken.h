#pragma once

namespace lycheeshunt::requests {

// This agent became director. The records of the one before it came whole, or not.
struct role_taken
{
    const bool recordsWhole = false;

    bool operator==(const role_taken &) const = default;
};

} // namespace lycheeshunt::requests
