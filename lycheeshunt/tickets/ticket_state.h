#pragma once

#include "lycheeshunt/tickets/pending_ticket.h"
#include "lycheeshunt/tickets/ticket_record.h"

#include <map>

namespace lycheeshunt::tickets {

// All accepted tickets, those proposed, and which service holds each address.
struct ticket_state
{
    std::map<base::ticket_number, ticket_record> records;
    std::map<base::ticket_number, pending_ticket> pending;
    std::map<std::string, service_definition> services;

    bool operator==(const ticket_state &) const = default;
};

} // namespace lycheeshunt::tickets
