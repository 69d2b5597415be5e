#pragma once

#include "lycheeshunt/base/request_id.h"
#include "lycheeshunt/tickets/ticket.h"

namespace lycheeshunt::tickets {

// An operator submits a ticket.
struct submit_ticket
{
    const base::request_id request;
    const tickets::ticket ticket;

    bool operator==(const submit_ticket &) const = default;
};

} // namespace lycheeshunt::tickets
