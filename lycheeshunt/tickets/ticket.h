#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/tickets/drain_order.h"
#include "lycheeshunt/tickets/service_definition.h"
#include "lycheeshunt/tickets/service_removal.h"

#include <string>
#include <variant>
#include <vector>

namespace lycheeshunt::tickets {

using ticket_change = std::variant<service_definition, service_removal, drain_order>;

// A numbered change: the complete new state of every object it changes.
struct ticket
{
    const base::ticket_number number;
    const std::string author;
    const std::vector<ticket_change> changes;

    bool operator==(const ticket &) const = default;
};

} // namespace lycheeshunt::tickets
