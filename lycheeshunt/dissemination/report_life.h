#pragma once

#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::dissemination {

// The node had to take a later incarnation: the view knew one that was ahead of its clock.
struct report_life
{
    const base::incarnation life;

    bool operator==(const report_life &) const = default;
};

} // namespace lycheeshunt::dissemination
