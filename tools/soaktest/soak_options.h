#pragma once

#include "lycheeshunt/base/clock_time.h"

#include <string>

namespace lycheeshunt::soak {

struct soak_options
{
    std::uint64_t seed = 1;
    // Length of the schedule; a run takes some seconds more.
    base::clock_time length = base::clock_time::ofSeconds(20);
    // Path of lycheeshuntd.
    std::string program = {};

    bool operator==(const soak_options &) const = default;
};

} // namespace lycheeshunt::soak
