// Each byte arrives later by this time.

#pragma once

#include "lycheeshunt/base/clock_time.h"

namespace lycheeshunt::soak {

struct link_delay
{
    base::clock_time delay;

    bool operator==(const link_delay &) const = default;
};

} // namespace lycheeshunt::soak
