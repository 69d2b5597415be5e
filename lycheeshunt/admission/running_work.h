#pragma once

#include "lycheeshunt/base/clock_time.h"

namespace lycheeshunt::admission {

// Work that was dispatched and occupies a slot.
struct running_work
{
    const base::clock_time startedAt;
    const base::clock_time deadline;
    const bool expectedLong = false;
    const bool cancelled = false;

    bool operator==(const running_work &) const = default;
};

} // namespace lycheeshunt::admission
