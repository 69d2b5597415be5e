#pragma once

#include "lycheeshunt/tickets/ticket.h"

#include <cstdint>

namespace lycheeshunt::tickets {

// Put a valid ticket into the log.
struct propose_ticket
{
    const tickets::ticket ticket;
    // Names this proposal among all of this process.
    const std::uint64_t token = 0;

    bool operator==(const propose_ticket &) const = default;
};

} // namespace lycheeshunt::tickets
