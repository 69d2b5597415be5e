#pragma once

#include "lycheeshunt/base/error.h"

#include <vector>

namespace lycheeshunt::tickets {

// Every fault of a ticket that was not accepted, or of a question about one.
struct ticket_refusal
{
    const std::vector<base::error> faults;

    bool operator==(const ticket_refusal &) const = default;
};

} // namespace lycheeshunt::tickets
