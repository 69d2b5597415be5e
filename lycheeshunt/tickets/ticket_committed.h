#pragma once

#include "lycheeshunt/tickets/ticket_record.h"

namespace lycheeshunt::tickets {

// The log has committed a ticket.
struct ticket_committed
{
    const ticket_record record;

    bool operator==(const ticket_committed &) const = default;
};

} // namespace lycheeshunt::tickets
