// An operator got the answer that a ticket is accepted.

#pragma once

#include "lycheeshunt/base/clock_time.h"

#include <string>

namespace lycheeshunt::soak {

struct ticket_accepted
{
    std::uint64_t number = 0;
    std::string author;
    std::uint64_t generation = 0;
    // When it was first sent.
    base::clock_time sentAt;

    bool operator==(const ticket_accepted &) const = default;
};

} // namespace lycheeshunt::soak
