#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/base/request_id.h"

namespace lycheeshunt::tickets {

// An operator reads a ticket.
struct get_ticket
{
    const base::request_id request;
    const base::ticket_number number;

    bool operator==(const get_ticket &) const = default;
};

} // namespace lycheeshunt::tickets
