#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/tickets/ticket.h"

namespace lycheeshunt::dissemination {

// A committed ticket created this generation.
struct ticket_applied
{
    const base::generation at;
    const tickets::ticket ticket;

    bool operator==(const ticket_applied &) const = default;
};

} // namespace lycheeshunt::dissemination
