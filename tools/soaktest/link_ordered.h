// The soak is about to change streams.

#pragma once

#include "tools/soaktest/link_order.h"

namespace lycheeshunt::soak {

struct link_ordered
{
    link_order order;

    bool operator==(const link_ordered &) const = default;
};

} // namespace lycheeshunt::soak
