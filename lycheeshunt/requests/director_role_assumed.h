#pragma once

namespace lycheeshunt::requests {

// This agent became director. The records of the one before it came whole, or not.
struct director_role_assumed
{
    const bool recordsWhole = false;

    bool operator==(const director_role_assumed &) const = default;
};

} // namespace lycheeshunt::requests
