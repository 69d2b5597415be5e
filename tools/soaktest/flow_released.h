// The caller has ended the flow in order.

#pragma once

#include "lycheeshunt/base/flow_key.h"

namespace lycheeshunt::soak {

struct flow_released
{
    base::flow_key flow;

    bool operator==(const flow_released &) const = default;
};

} // namespace lycheeshunt::soak
