#pragma once

#include "lycheeshunt/base/clock_time.h"

#include <string>

namespace lycheeshunt::soak {

struct submitted_ticket
{
    std::uint64_t number = 0;
    bool isContested = false;
    std::string body;
    base::clock_time sentAt = {};

    bool operator==(const submitted_ticket &) const = default;
};

} // namespace lycheeshunt::soak
