#pragma once

namespace lycheeshunt::evacuations {

// The order is committed and in force.
struct order_accepted
{
    bool operator==(const order_accepted &) const = default;
};

} // namespace lycheeshunt::evacuations
