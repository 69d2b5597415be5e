#pragma once

#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::routing {

// An agent has sent an echo of a probe.
struct probe_answered
{
    const base::incarnation incarnation;
    const std::uint64_t number = 0;

    bool operator==(const probe_answered &) const = default;
};

} // namespace lycheeshunt::routing
