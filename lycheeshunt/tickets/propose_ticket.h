#pragma once

#include "lycheeshunt/tickets/ticket.h"

#include <cstdint>

namespace lycheeshunt::tickets {

// Appends a valid ticket to the log.
struct propose_ticket
{
    const tickets::ticket ticket;
    // Identifies the proposal within this process.
    const std::uint64_t token = 0;

    bool operator==(const propose_ticket &) const = default;
};

} // namespace lycheeshunt::tickets
