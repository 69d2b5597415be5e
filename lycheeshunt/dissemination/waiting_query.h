#pragma once

#include "lycheeshunt/dissemination/in_force_query.h"

namespace lycheeshunt::dissemination {

// A question that is answered once the generation is in force, or at the deadline.
struct waiting_query
{
    const in_force_query query;
    const base::clock_time deadline;

    bool operator==(const waiting_query &) const = default;
};

} // namespace lycheeshunt::dissemination
