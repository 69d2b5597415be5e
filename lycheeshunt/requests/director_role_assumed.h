#pragma once

namespace lycheeshunt::requests {

// This agent became the director; says whether it received all records of its predecessor.
struct director_role_assumed
{
    const bool recordsComplete = false;

    bool operator==(const director_role_assumed &) const = default;
};

} // namespace lycheeshunt::requests
