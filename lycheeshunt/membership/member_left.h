#pragma once

#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::membership {

// The last word of one incarnation of a process: it has stopped serving and needs no suspicion.
struct member_left
{
    const base::node_id node;
    const base::incarnation incarnation;

    bool operator==(const member_left &) const = default;
};

} // namespace lycheeshunt::membership
