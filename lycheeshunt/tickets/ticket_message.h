#pragma once

#include "lycheeshunt/tickets/propose_ticket.h"
#include "lycheeshunt/tickets/show_ticket.h"
#include "lycheeshunt/tickets/submit_ticket.h"
#include "lycheeshunt/tickets/ticket_answer.h"
#include "lycheeshunt/tickets/ticket_committed.h"

#include <variant>

namespace lycheeshunt::tickets {

using ticket_message = std::variant<submit_ticket, show_ticket, ticket_committed>;
using ticket_action = std::variant<propose_ticket, ticket_answer>;

} // namespace lycheeshunt::tickets
