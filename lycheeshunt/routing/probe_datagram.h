#pragma once

#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::routing {

enum class probe_kind : std::uint8_t { probe = 64, echo = 65 };

// A liveness probe from an entry to one incarnation of an agent, or the agent's echo of it.
struct probe_datagram
{
    const probe_kind kind = probe_kind::probe;
    const base::incarnation incarnation;
    const std::uint64_t number = 0;

    bool operator==(const probe_datagram &) const = default;
};

} // namespace lycheeshunt::routing
