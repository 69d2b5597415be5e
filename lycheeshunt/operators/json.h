// JSON form of tickets and answers for operators.

#pragma once

#include "lycheeshunt/base/result.h"
#include "lycheeshunt/tickets/ticket_refusal.h"

#include <string>

namespace lycheeshunt::dissemination {
struct cluster_view;
struct in_force_answer;
} // namespace lycheeshunt::dissemination

namespace lycheeshunt::tickets {
struct ticket;
struct ticket_record;
} // namespace lycheeshunt::tickets

namespace lycheeshunt::operators {

// ticketMalformed when the text is no ticket.
base::result<tickets::ticket> ticketFromJson(const std::string &text);

struct flow_destination;

std::string refusalJson(const tickets::ticket_refusal &refusal);
std::string recordJson(const tickets::ticket_record &record,
                       const dissemination::in_force_answer &force);
std::string serversJson(const dissemination::cluster_view &view);
std::string statusJson(const dissemination::in_force_answer &force);
// The destination by this view.
std::string whereJson(const dissemination::cluster_view &view, const flow_destination &where);

} // namespace lycheeshunt::operators
