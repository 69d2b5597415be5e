// A caller sends the first packet of a new flow.

#pragma once

#include "lycheeshunt/base/flow_key.h"

namespace lycheeshunt::soak {

struct flow_opening
{
    base::flow_key flow;

    bool operator==(const flow_opening &) const = default;
};

} // namespace lycheeshunt::soak
