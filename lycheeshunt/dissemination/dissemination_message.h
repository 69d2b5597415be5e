#pragma once

#include "lycheeshunt/dissemination/batch_applied.h"
#include "lycheeshunt/dissemination/entries_merged.h"
#include "lycheeshunt/dissemination/evacuation_applied.h"
#include "lycheeshunt/dissemination/in_force_answer.h"
#include "lycheeshunt/dissemination/in_force_query.h"
#include "lycheeshunt/dissemination/leadership_began.h"
#include "lycheeshunt/dissemination/log_caught_up.h"
#include "lycheeshunt/dissemination/node_message_received.h"
#include "lycheeshunt/dissemination/publisher_tick.h"
#include "lycheeshunt/dissemination/send_piece.h"
#include "lycheeshunt/dissemination/send_to_nodes.h"
#include "lycheeshunt/dissemination/state_applied.h"
#include "lycheeshunt/dissemination/subscriber_closed.h"
#include "lycheeshunt/dissemination/subscriber_opened.h"
#include "lycheeshunt/dissemination/ticket_applied.h"

#include <variant>

namespace lycheeshunt::dissemination {

using dissemination_message
    = std::variant<subscriber_opened, subscriber_closed, node_message_received, ticket_applied,
                   batch_applied, state_applied, evacuation_applied, entries_merged,
                   leadership_began, log_caught_up, in_force_query, publisher_tick>;
using dissemination_action = std::variant<send_to_nodes, send_piece, in_force_answer>;

} // namespace lycheeshunt::dissemination
