#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/routing/target.h"

namespace lycheeshunt::routing {

// The agent that owns a flow, and when the entry received the hint.
struct flow_hint
{
    const base::service_id service;
    const target owner;
    const base::clock_time at;

    bool operator==(const flow_hint &) const = default;
};

} // namespace lycheeshunt::routing
