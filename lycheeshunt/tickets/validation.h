// The rules that a ticket must keep, against the tickets before it. Depends on nothing but the
// ticket and the applied log, so that every control VM comes to the same verdict.

#pragma once

#include "lycheeshunt/base/error.h"
#include "lycheeshunt/tickets/ticket.h"

#include <string>
#include <vector>

namespace lycheeshunt::tickets {

struct ticket_state;

// Every fault of a ticket whose number is free; empty when there is none.
std::vector<base::error> faultsOf(const ticket &ticket, const ticket_state &state);

// Makes a valid ticket part of the state.
void applyTicket(ticket_state &state, const ticket &ticket);

// The objects that a change touches; a ticket must have a greater number than the last one that
// touched any of its objects.
std::string objectOf(const ticket_change &change);

} // namespace lycheeshunt::tickets
