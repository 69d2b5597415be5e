#pragma once

#include "lycheeshunt/membership/member.h"

namespace lycheeshunt::membership {

// A process announces itself. Repeated announcements renew its lease.
struct member_announced
{
    const membership::member member;

    bool operator==(const member_announced &) const = default;
};

} // namespace lycheeshunt::membership
