#pragma once

#include "lycheeshunt/admission/work_id.h"
#include "lycheeshunt/base/clock_time.h"

namespace lycheeshunt::admission {

// Work asks for a slot of the backend server.
struct work_arrived
{
    const work_id id;
    // On the clock of this agent.
    const base::clock_time deadline;
    // Earlier work of the same flow was long.
    const bool likelyLong = false;

    bool operator==(const work_arrived &) const = default;
};

} // namespace lycheeshunt::admission
