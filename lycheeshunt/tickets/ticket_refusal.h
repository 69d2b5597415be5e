#pragma once

#include "lycheeshunt/base/error.h"

#include <vector>

namespace lycheeshunt::tickets {

// All errors of a rejected ticket, or of a read of a ticket.
struct ticket_refusal
{
    const std::vector<base::error> faults;

    bool operator==(const ticket_refusal &) const = default;
};

} // namespace lycheeshunt::tickets
