#pragma once

#include "lycheeshunt/membership/member.h"

namespace lycheeshunt::dissemination {

// The node's own member record has changed. Unless `isAnnounced`, the node receives views without
// being a member; if it was a member, it leaves.
struct self_changed
{
    const membership::member self;
    const bool isAnnounced = true;

    bool operator==(const self_changed &) const = default;
};

} // namespace lycheeshunt::dissemination
