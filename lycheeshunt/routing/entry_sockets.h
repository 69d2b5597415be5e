#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/pacing/link_rate.h"
#include "lycheeshunt/routing/hedging_limit.h"

#include <optional>

namespace lycheeshunt::routing {

// The addresses that an entry receives on and sends to.
struct entry_sockets
{
    // Local address for callers' packets from the fabric.
    const base::endpoint packets;
    // Local address for agents' messages about flows; without it the entry receives none.
    const std::optional<base::endpoint> hints = {};
    // Address of the fabric for packets to callers; without it no resets are sent to callers.
    const std::optional<base::endpoint> fabric = {};
    // The pace at which packets are sent on.
    const pacing::link_rate link = {};
    // The limit on second copies of opening packets. They need the hints.
    const hedging_limit hedging = {};

    bool operator==(const entry_sockets &) const = default;
};

} // namespace lycheeshunt::routing
