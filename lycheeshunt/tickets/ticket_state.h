#pragma once

#include "lycheeshunt/base/error.h"
#include "lycheeshunt/tickets/pending_ticket.h"
#include "lycheeshunt/tickets/ticket_record.h"

#include <map>
#include <variant>

namespace lycheeshunt::tickets {

// A request that waits until this VM is known to be current: a read of a ticket, or a submitted
// ticket that is invalid against this VM's state.
using pending_read = std::variant<base::ticket_number, ticket>;

// All accepted tickets, the services they define, and the requests that wait for an answer. The
// first three members are the same on every control VM that has applied the same log.
struct ticket_state
{
    std::map<base::ticket_number, ticket_record> records;
    std::map<std::string, service_definition> services;
    // The last ticket that changed each object, also of removed objects.
    std::map<std::string, base::ticket_number> lastChangedBy;

    std::map<base::ticket_number, pending_ticket> pending;
    std::map<base::request_id, pending_read> reads;
    std::uint64_t lastToken = 0;
    // Why this VM can't propose; empty while it leads.
    std::vector<base::error> notLeaderError
        = {base::error {base::error_code::quorumLost, "no leader is known"}};

    bool operator==(const ticket_state &) const = default;
};

} // namespace lycheeshunt::tickets
