#pragma once

#include "lycheeshunt/tickets/ticket.h"

namespace lycheeshunt::tickets {

// Put a valid ticket into the log.
struct propose_ticket
{
    const tickets::ticket ticket;

    bool operator==(const propose_ticket &) const = default;
};

} // namespace lycheeshunt::tickets
