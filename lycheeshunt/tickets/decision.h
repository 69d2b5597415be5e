// Decides what becomes of each ticket: one outcome a number, whatever is sent again.
//
//     step<ticket_state, ticket_action> next = decide(std::move(state), message);

#pragma once

#include "lycheeshunt/base/step.h"
#include "lycheeshunt/tickets/ticket_message.h"
#include "lycheeshunt/tickets/ticket_state.h"

namespace lycheeshunt::tickets {

base::step<ticket_state, ticket_action> decide(ticket_state state, const ticket_message &message);

// Every fault of a ticket against the services in force; empty when there is none.
std::vector<base::error> faultsOf(const ticket &ticket,
                                  const std::map<std::string, service_definition> &services);

} // namespace lycheeshunt::tickets
