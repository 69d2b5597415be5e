#pragma once

#include "lycheeshunt/membership/member.h"

namespace lycheeshunt::dissemination {

// What the node says of itself has changed. Unless `isAnnounced`, the node follows views without
// being a member; where it was one, it leaves.
struct self_changed
{
    const membership::member self;
    const bool isAnnounced = true;

    bool operator==(const self_changed &) const = default;
};

} // namespace lycheeshunt::dissemination
