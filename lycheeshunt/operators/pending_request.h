#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/base/flow_key.h"
#include "lycheeshunt/tickets/ticket_record.h"

#include <optional>

namespace lycheeshunt::operators {

enum class request_kind : std::uint8_t { ticket, status, servers, where };

// An in-flight request. One about a ticket may wait for it to be in force.
struct pending_request
{
    const request_kind kind = request_kind::ticket;
    const base::clock_time wait = {};
    // Set once the ticket is accepted, while the nodes' state is looked up.
    const std::optional<tickets::ticket_record> record = {};
    // The flow that request_kind::where is about.
    const std::optional<base::flow_key> flow = {};

    bool operator==(const pending_request &) const = default;
};

} // namespace lycheeshunt::operators
