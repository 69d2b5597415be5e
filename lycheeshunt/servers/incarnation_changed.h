#pragma once

#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::servers {

// The agent has taken a later incarnation than its clock gave, because the view already contains
// that one.
struct incarnation_changed
{
    const base::incarnation incarnation;

    bool operator==(const incarnation_changed &) const = default;
};

} // namespace lycheeshunt::servers
