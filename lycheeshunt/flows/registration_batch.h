#pragma once

#include "lycheeshunt/flows/registered_flow.h"
#include "lycheeshunt/routing/target.h"

#include <vector>

namespace lycheeshunt::flows {

// An owner tells a director (or its backup) which flows are its own. Sent again until a
// registration_ack with the same sequence comes back; a later sequence of the same incarnation
// counts more than an earlier one.
struct registration_batch
{
    const base::service_id service;
    const routing::target owner;
    const base::generation at;
    const std::uint32_t sequence = 0;
    const std::vector<registered_flow> flows = {};

    bool operator==(const registration_batch &) const = default;
};

} // namespace lycheeshunt::flows
