#pragma once

#include "lycheeshunt/base/clock_time.h"

namespace lycheeshunt::admission {

// Work that was handed over and holds a slot.
struct running_work
{
    const base::clock_time since;
    const base::clock_time deadline;
    const bool likelyLong = false;
    const bool cancelled = false;

    bool operator==(const running_work &) const = default;
};

} // namespace lycheeshunt::admission
