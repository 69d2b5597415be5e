#pragma once

#include "lycheeshunt/membership/member.h"

namespace lycheeshunt::dissemination {

// What the node says of itself has changed. Until `isAnnounced`, the node follows views without
// being a member.
struct self_changed
{
    const membership::member self;
    const bool isAnnounced = true;
    // Whether a draining node that ends is to stay a member, since it comes back to what it holds.
    const bool isExpectedBack = true;

    bool operator==(const self_changed &) const = default;
};

} // namespace lycheeshunt::dissemination
