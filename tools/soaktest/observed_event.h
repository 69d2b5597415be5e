#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "tools/soaktest/observation.h"

namespace lycheeshunt::soak {

struct observed_event
{
    base::clock_time at;
    observation what;

    bool operator==(const observed_event &) const = default;
};

} // namespace lycheeshunt::soak
