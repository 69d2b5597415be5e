#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::membership {

// A member that is gone: an announcement of an incarnation before `minIncarnation` is a late one.
struct departed
{
    const base::incarnation minIncarnation;
    const base::clock_time at;

    bool operator==(const departed &) const = default;
};

} // namespace lycheeshunt::membership
