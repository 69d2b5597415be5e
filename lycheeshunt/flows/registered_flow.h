#pragma once

#include "lycheeshunt/base/flow_key.h"

namespace lycheeshunt::flows {

// One flow in a registration: its owner has it, or it has ended.
struct registered_flow
{
    const base::flow_key key;
    const bool alive = true;

    bool operator==(const registered_flow &) const = default;
};

} // namespace lycheeshunt::flows
