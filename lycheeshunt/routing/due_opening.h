#pragma once

#include "lycheeshunt/routing/sent_opening.h"

namespace lycheeshunt::routing {

// An opening packet that no server has answered within the hedge delay.
struct due_opening
{
    const sent_opening opening;
    // Time since its first copy was sent.
    const base::clock_time waited;

    bool operator==(const due_opening &) const = default;
};

} // namespace lycheeshunt::routing
