#pragma once

#include "lycheeshunt/base/request_id.h"
#include "lycheeshunt/tickets/ticket_record.h"
#include "lycheeshunt/tickets/ticket_refusal.h"

#include <variant>

namespace lycheeshunt::tickets {

using ticket_outcome = std::variant<ticket_record, ticket_refusal>;

// The answer to submit_ticket or get_ticket.
struct ticket_answer
{
    const base::request_id request;
    const ticket_outcome outcome;

    bool operator==(const ticket_answer &) const = default;
};

} // namespace lycheeshunt::tickets
