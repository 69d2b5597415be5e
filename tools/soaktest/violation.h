#pragma once

#include "lycheeshunt/base/clock_time.h"

#include <string>

namespace lycheeshunt::soak {

struct violation
{
    base::clock_time at;
    std::string check;
    std::string details;

    bool operator==(const violation &) const = default;
};

} // namespace lycheeshunt::soak
