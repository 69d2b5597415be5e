#pragma once

#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::membership {

// Sent by an incarnation of a process when it stops serving: it is removed without suspicion.
struct member_left
{
    const base::node_id node;
    const base::incarnation incarnation;

    bool operator==(const member_left &) const = default;
};

} // namespace lycheeshunt::membership
