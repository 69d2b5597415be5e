#pragma once

#include "lycheeshunt/base/request_id.h"
#include "lycheeshunt/tickets/ticket_record.h"

#include <map>
#include <optional>

namespace lycheeshunt::operators {

// Requests under way. One that asks about a ticket holds its record while the nodes' state is
// looked up; one that asks for the status holds none.
struct operator_state
{
    std::map<base::request_id, std::optional<tickets::ticket_record>> waiting;

    bool operator==(const operator_state &) const = default;
};

} // namespace lycheeshunt::operators
