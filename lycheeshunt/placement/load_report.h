#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/placement/server_load.h"

namespace lycheeshunt::placement {

// The load of an agent by its own count. The sequence number increases within an incarnation.
struct load_report
{
    const base::node_id node;
    const base::incarnation incarnation;
    const std::uint64_t sequence = 0;
    const server_load load = {};
    // The sender has not heard the agent that it sends this report to for a while, so packets from
    // that agent to the sender are probably lost.
    const bool isRecipientSilent = false;

    bool operator==(const load_report &) const = default;
};

} // namespace lycheeshunt::placement
