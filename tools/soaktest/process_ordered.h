// The soak is about to change a process.

#pragma once

#include "tools/soaktest/process_order.h"

namespace lycheeshunt::soak {

struct process_ordered
{
    process_order order;

    bool operator==(const process_ordered &) const = default;
};

} // namespace lycheeshunt::soak
