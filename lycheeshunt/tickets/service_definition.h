#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/tickets/service_address.h"
#include "lycheeshunt/tickets/service_limits.h"

#include <string>
#include <vector>

namespace lycheeshunt::tickets {

// The complete definition of one service in a ticket.
struct service_definition
{
    const std::string name = {};
    const std::vector<service_address> addresses = {};
    const service_limits limits = {};
    // Fixed while a service exists: changing it would move every flow.
    const std::uint32_t buckets = 512;

    base::service_id id() const { return base::serviceIdOf(name); }

    bool operator==(const service_definition &) const = default;
};

} // namespace lycheeshunt::tickets
