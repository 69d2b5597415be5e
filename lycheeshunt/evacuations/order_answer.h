#pragma once

#include "lycheeshunt/base/error.h"
#include "lycheeshunt/base/request_id.h"
#include "lycheeshunt/evacuations/order_accepted.h"
#include "lycheeshunt/evacuations/redirect_to_leader.h"

#include <variant>

namespace lycheeshunt::evacuations {

using order_outcome = std::variant<order_accepted, redirect_to_leader, base::error>;

// The answer to submit_order. An error means that the outcome is unknown.
struct order_answer
{
    const base::request_id request;
    const order_outcome outcome;

    bool operator==(const order_answer &) const = default;
};

} // namespace lycheeshunt::evacuations
