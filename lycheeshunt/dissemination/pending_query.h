#pragma once

#include "lycheeshunt/dissemination/in_force_query.h"

namespace lycheeshunt::dissemination {

// A query that is answered once the generation is in force, or at the deadline.
struct pending_query
{
    const in_force_query query;
    const base::clock_time deadline;

    bool operator==(const pending_query &) const = default;
};

} // namespace lycheeshunt::dissemination
