#pragma once

#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::dissemination {

// The node had to take a later incarnation: the view knew one that was ahead of its clock.
struct report_incarnation
{
    const base::incarnation incarnation;

    bool operator==(const report_incarnation &) const = default;
};

} // namespace lycheeshunt::dissemination
