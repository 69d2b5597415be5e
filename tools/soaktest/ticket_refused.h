// An operator got the answer that a ticket is refused, and the refusal is final.

#pragma once

#include <string>

namespace lycheeshunt::soak {

struct ticket_refused
{
    std::uint64_t number = 0;
    std::string author;
    std::string answer;
    // Another operator may have submitted the same number or changed the same object.
    bool isContested = false;

    bool operator==(const ticket_refused &) const = default;
};

} // namespace lycheeshunt::soak
