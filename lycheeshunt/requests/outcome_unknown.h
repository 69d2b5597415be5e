#pragma once

namespace lycheeshunt::requests {

// The request may have run; it is not run again.
struct outcome_unknown
{
    bool operator==(const outcome_unknown &) const = default;
};

} // namespace lycheeshunt::requests
