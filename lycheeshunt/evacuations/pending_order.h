#pragma once

#include "lycheeshunt/base/request_id.h"
#include "lycheeshunt/evacuations/evacuation_order.h"

#include <cstdint>

namespace lycheeshunt::evacuations {

// A proposal whose commit a request waits for.
struct pending_order
{
    const std::uint64_t token = 0;
    const base::request_id request;
    const evacuation_order order;

    bool operator==(const pending_order &) const = default;
};

} // namespace lycheeshunt::evacuations
