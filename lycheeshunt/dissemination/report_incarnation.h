#pragma once

#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::dissemination {

// The node has taken a later incarnation, as the view contained one that was ahead of its clock.
struct report_incarnation
{
    const base::incarnation incarnation;

    bool operator==(const report_incarnation &) const = default;
};

} // namespace lycheeshunt::dissemination
