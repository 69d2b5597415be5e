#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::membership {

// A node that was removed. Announcements of incarnations earlier than `minIncarnation` were sent
// before the removal and are ignored.
struct departed_member
{
    const base::incarnation minIncarnation;
    const base::clock_time at;

    bool operator==(const departed_member &) const = default;
};

} // namespace lycheeshunt::membership
