#pragma once

#include "lycheeshunt/admission/work_id.h"
#include "lycheeshunt/base/clock_time.h"

namespace lycheeshunt::admission {

// New work requests a slot of the backend server.
struct work_arrived
{
    const work_id id;
    // By this agent's clock.
    const base::clock_time deadline;
    // Earlier work of the same flow was long, so this work is expected to be long too.
    const bool expectedLong = false;

    bool operator==(const work_arrived &) const = default;
};

} // namespace lycheeshunt::admission
