// A control VM answered a query for a ticket.

#pragma once

#include "lycheeshunt/base/clock_time.h"

#include <string>

namespace lycheeshunt::soak {

struct ticket_read
{
    std::uint64_t number = 0;
    // Empty if the control VM does not have the ticket.
    std::string author;
    std::uint64_t generation = 0;
    base::clock_time askedAt;

    bool operator==(const ticket_read &) const = default;
};

} // namespace lycheeshunt::soak
