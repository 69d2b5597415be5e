#pragma once

namespace lycheeshunt::soak {

// The operator makes its next request.
struct operator_tick
{
    bool operator==(const operator_tick &) const = default;
};

} // namespace lycheeshunt::soak
