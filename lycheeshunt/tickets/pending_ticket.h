#pragma once

#include "lycheeshunt/base/request_id.h"
#include "lycheeshunt/tickets/ticket.h"

#include <cstdint>
#include <vector>

namespace lycheeshunt::tickets {

// A proposed ticket and everyone who waits to hear of it.
struct pending_ticket
{
    const tickets::ticket ticket;
    const std::uint64_t token = 0;
    std::vector<base::request_id> waiting;

    bool operator==(const pending_ticket &) const = default;
};

} // namespace lycheeshunt::tickets
