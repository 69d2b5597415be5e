#pragma once

#include "lycheeshunt/base/error.h"
#include "lycheeshunt/tickets/pending_ticket.h"
#include "lycheeshunt/tickets/ticket_record.h"

#include <map>
#include <variant>

namespace lycheeshunt::tickets {

// What waits until this VM is known to be current: a question about a ticket, or a submitted
// ticket that has faults by what this VM knows.
using pending_read = std::variant<base::ticket_number, ticket>;

// All accepted tickets and what they amount to, and who waits for an answer. The first three
// members are the same on every control VM that has applied the same log.
struct ticket_state
{
    std::map<base::ticket_number, ticket_record> records;
    std::map<std::string, service_definition> services;
    // The last ticket that touched each object, also of objects that are gone.
    std::map<std::string, base::ticket_number> touched;

    std::map<base::ticket_number, pending_ticket> pending;
    std::map<base::request_id, pending_read> reads;
    std::uint64_t lastToken = 0;
    // Why this VM can't propose; empty while it leads.
    std::vector<base::error> refusal
        = {base::error {base::error_code::quorumLost, "no leader is known"}};

    bool operator==(const ticket_state &) const = default;
};

} // namespace lycheeshunt::tickets
