#pragma once

#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::servers {

// The view knew a later incarnation of this agent than its clock gave.
struct incarnation_changed
{
    const base::incarnation incarnation;

    bool operator==(const incarnation_changed &) const = default;
};

} // namespace lycheeshunt::servers
