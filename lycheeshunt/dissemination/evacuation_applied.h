#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/evacuations/evacuation_order.h"

namespace lycheeshunt::dissemination {

// A committed evacuation order created this generation.
struct evacuation_applied
{
    const base::generation at;
    const evacuations::evacuation_order order;

    bool operator==(const evacuation_applied &) const = default;
};

} // namespace lycheeshunt::dissemination
