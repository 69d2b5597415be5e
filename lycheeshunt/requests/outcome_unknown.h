#pragma once

namespace lycheeshunt::requests {

// The request may have run and is not retried.
struct outcome_unknown
{
    bool operator==(const outcome_unknown &) const = default;
};

} // namespace lycheeshunt::requests
