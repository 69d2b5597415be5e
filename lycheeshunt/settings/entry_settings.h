#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/pacing/link_rate.h"
#include "lycheeshunt/routing/hedging_limit.h"

#include <optional>

namespace lycheeshunt::settings {

// Settings of an entry besides the common ones.
struct entry_settings
{
    // Listen address for callers' packets from the fabric.
    const base::endpoint packets;
    // Listen address for flow hints from agents. Without it each packet is sent to its director.
    const std::optional<base::endpoint> hints = {};
    // The fabric receives packets for callers at this address.
    const std::optional<base::endpoint> fabric = {};
    // Listen address for readiness queries (HTTP).
    const std::optional<base::endpoint> readiness = {};
    // Bandwidth of the VM's own link. Packets are sent on at this pace; without it, at once.
    const pacing::link_rate link = {};
    // The limit on second copies of opening packets.
    const routing::hedging_limit hedging = {};

    bool operator==(const entry_settings &) const = default;
};

} // namespace lycheeshunt::settings
