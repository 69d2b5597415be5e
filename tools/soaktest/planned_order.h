#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "tools/soaktest/soak_order.h"

namespace lycheeshunt::soak {

struct planned_order
{
    // Since the start of the fault phase.
    base::clock_time at;
    soak_order order;

    bool operator==(const planned_order &) const = default;
};

} // namespace lycheeshunt::soak
