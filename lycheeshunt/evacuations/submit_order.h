#pragma once

#include "lycheeshunt/base/request_id.h"
#include "lycheeshunt/evacuations/evacuation_order.h"

namespace lycheeshunt::evacuations {

// An operator submits an order that has passed validation.
struct submit_order
{
    const base::request_id request;
    const evacuation_order order;

    bool operator==(const submit_order &) const = default;
};

} // namespace lycheeshunt::evacuations
