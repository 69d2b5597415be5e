#pragma once

#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::servers {

// The view knew a later incarnation of this agent than its clock gave.
struct life_taken
{
    const base::incarnation life;

    bool operator==(const life_taken &) const = default;
};

} // namespace lycheeshunt::servers
