#pragma once

#include "lycheeshunt/base/flow_key.h"

namespace lycheeshunt::flows {

// One flow in a registration: open, or ended when not alive.
struct registered_flow
{
    const base::flow_key key;
    const bool alive = true;

    bool operator==(const registered_flow &) const = default;
};

} // namespace lycheeshunt::flows
