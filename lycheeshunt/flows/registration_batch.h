#pragma once

#include "lycheeshunt/flows/registered_flow.h"
#include "lycheeshunt/routing/target.h"

#include <vector>

namespace lycheeshunt::flows {

// An owner registers its flows with a director or backup. Retransmitted until a registration_ack
// with the same sequence number arrives. Within an incarnation, a later sequence number overrides
// an earlier one.
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
