#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/tickets/ticket.h"

namespace lycheeshunt::tickets {

// An accepted ticket, its generation and the time of acceptance.
struct ticket_record
{
    const tickets::ticket ticket;
    const base::generation at;
    const base::clock_time acceptedAt;

    bool operator==(const ticket_record &) const = default;
};

} // namespace lycheeshunt::tickets
