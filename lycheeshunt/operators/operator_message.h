#pragma once

#include "lycheeshunt/dissemination/in_force_answer.h"
#include "lycheeshunt/dissemination/in_force_query.h"
#include "lycheeshunt/evacuations/order_answer.h"
#include "lycheeshunt/evacuations/submit_order.h"
#include "lycheeshunt/operators/http_arrived.h"
#include "lycheeshunt/operators/http_reply.h"
#include "lycheeshunt/tickets/get_ticket.h"
#include "lycheeshunt/tickets/submit_ticket.h"
#include "lycheeshunt/tickets/ticket_answer.h"

#include <variant>

namespace lycheeshunt::operators {

using operator_message = std::variant<http_arrived, tickets::ticket_answer,
                                      dissemination::in_force_answer, evacuations::order_answer>;
using operator_action
    = std::variant<tickets::submit_ticket, tickets::get_ticket, dissemination::in_force_query,
                   evacuations::submit_order, http_reply>;

} // namespace lycheeshunt::operators
