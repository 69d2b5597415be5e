#pragma once

#include "lycheeshunt/membership/member_left.h"
#include "lycheeshunt/streams/connection_id.h"

namespace lycheeshunt::dissemination {

// Notify control that the node is no longer a member.
struct leave_group
{
    const streams::connection_id connection;
    const membership::member_left left;

    bool operator==(const leave_group &) const = default;
};

} // namespace lycheeshunt::dissemination
