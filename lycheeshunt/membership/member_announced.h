#pragma once

#include "lycheeshunt/membership/member.h"

namespace lycheeshunt::membership {

// A process says who it is; repeated, it keeps its lease alive.
struct member_announced
{
    const membership::member member;

    bool operator==(const member_announced &) const = default;
};

} // namespace lycheeshunt::membership
