#pragma once

#include "lycheeshunt/tickets/ticket_record.h"

namespace lycheeshunt::tickets {

// A committed ticket is valid and changes what is in force.
struct apply_ticket
{
    const ticket_record record;

    bool operator==(const apply_ticket &) const = default;
};

} // namespace lycheeshunt::tickets
