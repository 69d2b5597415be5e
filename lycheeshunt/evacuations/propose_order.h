#pragma once

#include "lycheeshunt/evacuations/evacuation_order.h"

#include <cstdint>

namespace lycheeshunt::evacuations {

// Appends the order to the log.
struct propose_order
{
    const evacuation_order order;
    const std::uint64_t token = 0;

    bool operator==(const propose_order &) const = default;
};

} // namespace lycheeshunt::evacuations
