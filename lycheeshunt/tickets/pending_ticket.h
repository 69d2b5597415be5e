#pragma once

#include "lycheeshunt/base/request_id.h"
#include "lycheeshunt/tickets/ticket.h"

#include <cstdint>
#include <vector>

namespace lycheeshunt::tickets {

// An in-flight ticket proposal and the requests that wait for its outcome.
struct pending_ticket
{
    const tickets::ticket ticket;
    const std::uint64_t token = 0;
    std::vector<base::request_id> waiting;

    bool operator==(const pending_ticket &) const = default;
};

} // namespace lycheeshunt::tickets
