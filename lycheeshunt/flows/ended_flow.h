#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/base/flow_key.h"

namespace lycheeshunt::flows {

// A flow that has ended, and the time at which its owner removes it from its table.
struct ended_flow
{
    const base::flow_key key;
    const base::clock_time removeAt;

    bool operator==(const ended_flow &) const = default;
};

} // namespace lycheeshunt::flows
