#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::membership {

// A node that was removed. Announcements of incarnations earlier than `minIncarnation` were sent
// before the removal and are ignored, unless the incarnation that left keeps announcing itself.
struct departed_member
{
    const base::incarnation minIncarnation;
    const base::clock_time at;
    // First and last of the unbroken announcements since the removal by the incarnation that left;
    // zero if there are none.
    const base::clock_time announcedSince = {};
    const base::clock_time lastAnnounced = {};

    bool operator==(const departed_member &) const = default;
};

} // namespace lycheeshunt::membership
