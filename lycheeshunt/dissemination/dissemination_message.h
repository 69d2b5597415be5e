#pragma once

#include "lycheeshunt/dissemination/batch_applied.h"
#include "lycheeshunt/dissemination/entries_merged.h"
#include "lycheeshunt/dissemination/force_answer.h"
#include "lycheeshunt/dissemination/force_query.h"
#include "lycheeshunt/dissemination/node_said.h"
#include "lycheeshunt/dissemination/publisher_tick.h"
#include "lycheeshunt/dissemination/send_to_node.h"
#include "lycheeshunt/dissemination/state_applied.h"
#include "lycheeshunt/dissemination/subscriber_closed.h"
#include "lycheeshunt/dissemination/subscriber_opened.h"
#include "lycheeshunt/dissemination/ticket_applied.h"

#include <variant>

namespace lycheeshunt::dissemination {

using dissemination_message
    = std::variant<subscriber_opened, subscriber_closed, node_said, ticket_applied, batch_applied,
                   state_applied, entries_merged, force_query, publisher_tick>;
using dissemination_action = std::variant<send_to_node, force_answer>;

} // namespace lycheeshunt::dissemination
