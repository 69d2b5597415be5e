#pragma once

#include "lycheeshunt/dissemination/batch_applied.h"
#include "lycheeshunt/dissemination/force_answer.h"
#include "lycheeshunt/dissemination/force_query.h"
#include "lycheeshunt/dissemination/send_view.h"
#include "lycheeshunt/dissemination/subscriber_closed.h"
#include "lycheeshunt/dissemination/subscriber_named.h"
#include "lycheeshunt/dissemination/subscriber_opened.h"
#include "lycheeshunt/dissemination/ticket_applied.h"
#include "lycheeshunt/dissemination/view_acknowledged.h"

#include <variant>

namespace lycheeshunt::dissemination {

using dissemination_message
    = std::variant<subscriber_opened, subscriber_closed, subscriber_named, view_acknowledged,
                   ticket_applied, batch_applied, force_query>;
using dissemination_action = std::variant<send_view, force_answer>;

} // namespace lycheeshunt::dissemination
