#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/base/flow_key.h"

namespace lycheeshunt::flows {

// A flow that leaves the owner's table at this time.
struct ended_flow
{
    const base::flow_key key;
    const base::clock_time leavesAt;

    bool operator==(const ended_flow &) const = default;
};

} // namespace lycheeshunt::flows
