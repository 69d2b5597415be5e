#pragma once

#include "lycheeshunt/admission/work_id.h"
#include "lycheeshunt/base/clock_time.h"

namespace lycheeshunt::admission {

// Work that is queued for a slot.
struct queued_work
{
    const work_id id;
    const base::clock_time arrivedAt;
    const base::clock_time deadline;
    const bool expectedLong = false;

    bool operator==(const queued_work &) const = default;
};

} // namespace lycheeshunt::admission
