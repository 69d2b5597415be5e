// The declared form of the JSON in which operators submit a ticket.

#pragma once

#include "lycheeshunt/base/result.h"
#include "lycheeshunt/tickets/service_address.h"

#include <rapidjson/document.h>

#include <optional>
#include <string>
#include <string_view>

namespace lycheeshunt::operators {

// Parses and validates the whole ticket: its schema and the form of its addresses. The error is
// ticketMalformed and names object, field, value and limit.
base::result<rapidjson::Document> readValidTicket(const std::string &text);

// An address such as tcp:192.0.2.1:443.
std::optional<tickets::service_address> addressFrom(std::string_view text);

} // namespace lycheeshunt::operators
