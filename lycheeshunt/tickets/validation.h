// The rules that a ticket must keep, against the tickets before it. Depends on nothing but the
// ticket and the applied log, so that every control VM gets the same result.

#pragma once

#include "lycheeshunt/base/error.h"
#include "lycheeshunt/tickets/ticket.h"

#include <string>
#include <vector>

namespace lycheeshunt::tickets {

struct ticket_state;

// All errors of a ticket whose number is free; empty for a valid ticket.
std::vector<base::error> faultsOf(const ticket &ticket, const ticket_state &state);

// Applies a valid ticket to the state.
void applyTicket(ticket_state &state, const ticket &ticket);

// The key of the object that a change modifies; a ticket must have a greater number than the last
// one that modified any of its objects.
std::string objectKeyOf(const ticket_change &change);

} // namespace lycheeshunt::tickets
