#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/evacuations/evacuation_order.h"

namespace lycheeshunt::evacuations {

// The log has committed an order.
struct order_committed
{
    const base::generation at;
    const evacuation_order order;

    bool operator==(const order_committed &) const = default;
};

} // namespace lycheeshunt::evacuations
