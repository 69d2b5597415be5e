#pragma once

#include "lycheeshunt/tickets/apply_ticket.h"
#include "lycheeshunt/tickets/confirm_read.h"
#include "lycheeshunt/tickets/get_ticket.h"
#include "lycheeshunt/tickets/leadership_update.h"
#include "lycheeshunt/tickets/other_caught_up.h"
#include "lycheeshunt/tickets/other_committed.h"
#include "lycheeshunt/tickets/other_read_outcome.h"
#include "lycheeshunt/tickets/proposal_rejected.h"
#include "lycheeshunt/tickets/propose_ticket.h"
#include "lycheeshunt/tickets/read_outcome.h"
#include "lycheeshunt/tickets/submit_ticket.h"
#include "lycheeshunt/tickets/ticket_answer.h"
#include "lycheeshunt/tickets/ticket_committed.h"

#include <variant>

namespace lycheeshunt::tickets {

using ticket_message
    = std::variant<submit_ticket, get_ticket, ticket_committed, other_committed, other_read_outcome,
                   other_caught_up, proposal_rejected, read_outcome, leadership_update>;
using ticket_action = std::variant<propose_ticket, ticket_answer, apply_ticket, other_committed,
                                   other_read_outcome, other_caught_up, confirm_read>;

} // namespace lycheeshunt::tickets
